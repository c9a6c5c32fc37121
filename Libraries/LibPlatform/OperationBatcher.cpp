#include "LibPlatform/OperationBatcher.h"

#include "LibPlatform/FenceRow.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace vanillaworks::platform {

namespace {
using Json = nlohmann::json;
constexpr const char* kUpstreamPrefix = "upstream/";

template<typename... Ts>
struct Overloaded : Ts...
{
  using Ts::operator()...;
};
template<typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

std::string
EncodeUpstream(const RegisterOperation& aRegister, bool aIsReplaced)
{
  return Json{
    { "incarnation", aRegister.incarnation.Value() },
    { "replaced", aIsReplaced },
    { "gone", aRegister.isGone }
  }.dump();
}

std::optional<dispatch::UpstreamRow>
DecodeUpstream(const TableRow& aRow)
{
  try {
    auto json = Json::parse(aRow.value);
    return dispatch::UpstreamRow{
      UpstreamId(aRow.key.substr(std::string(kUpstreamPrefix).size())),
      Incarnation(json.at("incarnation").get<std::uint64_t>()),
      aRow.version,
      json.at("replaced").get<bool>(),
      json.at("gone").get<bool>()
    };
  } catch (const Json::exception&) {
    return {};
  }
}

std::string
UpstreamKey(const UpstreamId& aUpstream)
{
  return kUpstreamPrefix + aUpstream.Value();
}
}

/** Rows read and writes collected in one Step(). */
struct OperationBatcher::Round
{
  std::map<std::string, TableRow> rows;
  TableTransaction transaction;
  std::set<std::string> written;
  std::map<EntryId, Incarnation> fences;
  std::uint64_t fencesVersion = kAbsentVersion;
  bool haveFencesChanged = false;
  bool isObjectStoreDown = false;

  const TableRow* Find(const std::string& aKey) const
  {
    auto found = rows.find(aKey);
    bool isPresent =
      found != rows.end() && found->second.version != kAbsentVersion;
    return isPresent ? &found->second : nullptr;
  }
  /** Returns false if this transaction already writes the row. */
  bool Write(TableWrite aWrite)
  {
    if (!written.insert(aWrite.key).second) {
      return false;
    }
    transaction.writes.push_back(std::move(aWrite));
    return true;
  }
};

OperationBatcher::OperationBatcher(TableService& aTable,
                                   ObjectStore& aObjects,
                                   OperationBatcherLimits aLimits)
  : table_(aTable)
  , objects_(aObjects)
  , limits_(aLimits)
{
}

void
OperationBatcher::Add(TableOperation aOperation)
{
  operations_.push_back(std::move(aOperation));
}

TableRead
OperationBatcher::RequiredReads(std::size_t aCount) const
{
  TableRead read;
  bool needsFences = false;
  bool needsUpstreams = false;
  for (std::size_t i = 0; i < aCount; ++i) {
    std::visit(
      Overloaded{ [](const ClaimOperation&) {},
                  [&read](const PollClaimOperation& aPoll) {
                    read.keys.push_back(ClaimKey(aPoll.submission));
                  },
                  [&](const TakeOverOperation& aTakeOver) {
                    read.keys.push_back(ClaimKey(aTakeOver.submission));
                    needsFences = true;
                    needsUpstreams = true;
                  },
                  [&](const RecordOperation& aRecord) {
                    if (!claimVersions_.contains(aRecord.answer.submission)) {
                      read.keys.push_back(ClaimKey(aRecord.answer.submission));
                    }
                  },
                  [&](const RegisterOperation& aRegister) {
                    read.keys.push_back(UpstreamKey(aRegister.upstream));
                    needsFences = true;
                  } },
      operations_[i].request);
  }
  if (needsFences) {
    read.keys.emplace_back(kFencesKey);
  }
  if (needsUpstreams) {
    read.prefixes.emplace_back(kUpstreamPrefix);
  }
  return read;
}

BatchResult
OperationBatcher::Step()
{
  auto count =
    std::min(operations_.size(), limits_.maxOperationsPerTransaction);
  Round round;
  auto read = RequiredReads(count);
  if (!read.keys.empty() || !read.prefixes.empty()) {
    auto result = table_.Read(read);
    if (result.IsError()) {
      return BatchResult::TableUnavailable;
    }
    for (const auto& row : result.Value().rows) {
      round.rows[row.key] = row;
    }
  }
  if (const auto* fences = round.Find(kFencesKey)) {
    round.fences = DecodeFences(fences->value);
    round.fencesVersion = fences->version;
  }
  std::vector<TableOperation> remaining;
  std::vector<TableOperation> writing;
  for (std::size_t i = 0; i < operations_.size(); ++i) {
    auto& operation = operations_[i];
    auto writesBefore = round.transaction.writes.size();
    bool isDone = i < count && Prepare(operation, round);
    if (isDone) {
      continue;
    }
    bool isWriting = round.transaction.writes.size() > writesBefore;
    (isWriting ? writing : remaining).push_back(std::move(operation));
  }
  operations_ = std::move(remaining);
  if (round.haveFencesChanged) {
    round.Write(
      { kFencesKey, round.fencesVersion, EncodeFences(round.fences), {} });
  }
  auto isUnavailable = round.isObjectStoreDown;
  if (!round.transaction.writes.empty()) {
    auto result = table_.Transact(round.transaction);
    isUnavailable = isUnavailable || result.IsError();
    bool committed = !result.IsError() && result.Value().committed;
    if (!result.IsError() && !committed) {
      // All writes are retried in the next round, which reads the conflicting
      // rows again. A conflicting claim is completed now from the row that the
      // conflict returned, because a claim reads no row before it writes.
      std::set<std::string> conflicts;
      for (const auto& row : result.Value().conflicts) {
        conflicts.insert(row.key);
        round.rows[row.key] = row;
        claimVersions_.erase(
          SubmissionId(row.key.substr(row.key.find('/') + 1)));
      }
      std::erase_if(writing, [&](auto& aOperation) {
        const auto* claim = std::get_if<ClaimOperation>(&aOperation.request);
        return claim && conflicts.contains(ClaimKey(claim->submission)) &&
               PrepareClaim(aOperation, round);
      });
    }
    for (auto& operation : writing) {
      if (committed && OnCommitted(operation, result.Value().sequence)) {
        continue;
      }
      operations_.push_back(std::move(operation));
    }
  }
  return isUnavailable ? BatchResult::TableUnavailable : BatchResult::Progress;
}

bool
OperationBatcher::Prepare(TableOperation& aOperation, Round& aRound)
{
  switch (aOperation.request.index()) {
    case 0:
      return PrepareClaim(aOperation, aRound);
    case 1:
      return PreparePollClaim(aOperation, aRound);
    case 2:
      return PrepareTakeOver(aOperation, aRound);
    case 3:
      return PrepareRecord(aOperation, aRound);
    default:
      return PrepareRegister(aOperation, aRound);
  }
}

bool
OperationBatcher::PrepareClaim(TableOperation& aOperation, Round& aRound)
{
  const auto& claim = std::get<ClaimOperation>(aOperation.request);
  auto key = ClaimKey(claim.submission);
  const auto* row = aRound.Find(key);
  auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
  if (value) {
    bool isOurs = value->owner == aOperation.self && !value->answer &&
                  value->answerObjectName.empty() &&
                  value->digest == claim.digest;
    if (isOurs) {
      // An earlier attempt took effect and its response was lost.
      claimVersions_[claim.submission] = row->version;
      aOperation.onClaim(dispatch::ClaimGranted{ aOperation.self });
      return true;
    }
    return CompleteFromRow(*value, aOperation, aRound);
  }
  aRound.Write({ key,
                 kAbsentVersion,
                 ClaimRow{ aOperation.self, claim.digest, 0, {}, {} }.Encode(),
                 claim.deadline + limits_.claimRetention });
  return false;
}

bool
OperationBatcher::PreparePollClaim(TableOperation& aOperation, Round& aRound)
{
  const auto& poll = std::get<PollClaimOperation>(aOperation.request);
  const auto* row = aRound.Find(ClaimKey(poll.submission));
  auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
  if (!value) {
    aOperation.onClaim(dispatch::ClaimMissing{});
    return true;
  }
  return CompleteFromRow(*value, aOperation, aRound);
}

bool
OperationBatcher::PrepareTakeOver(TableOperation& aOperation, Round& aRound)
{
  const auto& takeOver = std::get<TakeOverOperation>(aOperation.request);
  auto key = ClaimKey(takeOver.submission);
  const auto* row = aRound.Find(key);
  auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
  if (!value) {
    aOperation.onClaim(dispatch::ClaimMissing{});
    return true;
  }
  bool hasEnded = value->answer || !value->answerObjectName.empty();
  if (value->owner == aOperation.self && !hasEnded) {
    // The takeover took effect in an earlier round. The agents read now
    // therefore include all that registered before the takeover, and agents
    // that register later receive the fence when they register.
    dispatch::ClaimTakenOver taken{
      aOperation.self, aRound.fences, value->firstSequence, {}
    };
    for (const auto& [rowKey, upstream] : aRound.rows) {
      if (rowKey.starts_with(kUpstreamPrefix) &&
          upstream.version != kAbsentVersion) {
        if (auto decoded = DecodeUpstream(upstream)) {
          taken.upstreams.push_back(*decoded);
        }
      }
    }
    claimVersions_[takeOver.submission] = row->version;
    aOperation.onClaim(std::move(taken));
    return true;
  }
  if (hasEnded || value->owner != takeOver.owner) {
    return CompleteFromRow(*value, aOperation, aRound);
  }
  ClaimRow taken = *value;
  taken.owner = aOperation.self;
  if (taken.firstSequence == 0) {
    taken.firstSequence = row->version;
  }
  auto& fence = aRound.fences[takeOver.owner.entry];
  if (fence < takeOver.owner.incarnation) {
    fence = takeOver.owner.incarnation;
    aRound.haveFencesChanged = true;
  }
  aRound.Write({ key,
                 row->version,
                 taken.Encode(),
                 takeOver.deadline + limits_.claimRetention });
  return false;
}

bool
OperationBatcher::PrepareRecord(TableOperation& aOperation, Round& aRound)
{
  const auto& record = std::get<RecordOperation>(aOperation.request);
  const auto& id = record.answer.submission;
  ClaimRow next{ aOperation.self, record.digest, 0, {}, {} };
  auto knownVersion = claimVersions_.find(id);
  std::uint64_t version = kAbsentVersion;
  if (knownVersion != claimVersions_.end()) {
    version = knownVersion->second;
  } else {
    const auto* row = aRound.Find(ClaimKey(id));
    auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
    if (!value) {
      aOperation.onClaim(dispatch::ClaimMissing{});
      return true;
    }
    bool isOpen = value->owner == aOperation.self && !value->answer &&
                  value->answerObjectName.empty();
    if (!isOpen) {
      return CompleteFromRow(*value, aOperation, aRound);
    }
    version = row->version;
  }
  if (StoreAnswer(record.answer, next).IsError()) {
    aRound.isObjectStoreDown = true;
    return false;
  }
  aRound.Write({ ClaimKey(id),
                 version,
                 next.Encode(),
                 record.deadline + limits_.claimRetention });
  return false;
}

bool
OperationBatcher::PrepareRegister(TableOperation& aOperation, Round& aRound)
{
  const auto& request = std::get<RegisterOperation>(aOperation.request);
  const auto* row = aRound.Find(UpstreamKey(request.upstream));
  auto value = row ? DecodeUpstream(*row) : std::nullopt;
  if (value && value->incarnation == request.incarnation &&
      value->gone == request.isGone) {
    // The row existed before this round's read, so the fences read with it
    // include all that were set before a takeover could see this agent.
    aOperation.onRegister({ aRound.fences });
    return true;
  }
  bool isOutdated =
    value && (value->incarnation > request.incarnation ||
              (value->incarnation == request.incarnation && value->gone));
  if (isOutdated) {
    return true;
  }
  bool isReplaced =
    value && (value->replaced || value->incarnation != request.incarnation);
  aRound.Write({ UpstreamKey(request.upstream),
                 row ? row->version : kAbsentVersion,
                 EncodeUpstream(request, isReplaced),
                 {} });
  return false;
}

bool
OperationBatcher::OnCommitted(TableOperation& aOperation,
                              std::uint64_t aSequence)
{
  return std::visit(
    Overloaded{ [&](const ClaimOperation& aClaim) {
                 claimVersions_[aClaim.submission] = aSequence;
                 aOperation.onClaim(dispatch::ClaimGranted{ aOperation.self });
                 return true;
               },
                [](const PollClaimOperation&) { return false; },
                // Takeovers and registrations complete in the next round, from
                // the rows that it reads.
                [](const TakeOverOperation&) { return false; },
                [&](const RecordOperation& aRecord) {
                  claimVersions_.erase(aRecord.answer.submission);
                  aOperation.onClaim(
                    dispatch::ClaimRecorded{ aRecord.answer, aRecord.digest });
                  return true;
                },
                [](const RegisterOperation&) { return false; } },
    aOperation.request);
}

bool
OperationBatcher::CompleteFromRow(const ClaimRow& aRow,
                                  TableOperation& aOperation,
                                  Round& aRound)
{
  auto outcome = OutcomeOf(aRow);
  if (outcome.IsError()) {
    aRound.isObjectStoreDown = true;
    return false;
  }
  aOperation.onClaim(outcome.ReleaseValue());
  return true;
}

Result<Success, TableError>
OperationBatcher::StoreAnswer(const dispatch::Answer& aAnswer, ClaimRow& aRow)
{
  auto text = EncodeAnswer(aAnswer);
  if (text.size() <= limits_.maxInlineAnswerBytes) {
    aRow.answer = aAnswer;
    return Success{};
  }
  // The name contains the owner's incarnation, so that two incarnations never
  // write different answers to the same object.
  auto name = "answer-" + aRow.owner.entry.Value() + "-" +
              std::to_string(aRow.owner.incarnation.Value()) + "-" +
              std::to_string(std::hash<SubmissionId>{}(aAnswer.submission));
  VW_TRY(objects_.Put(name, text));
  aRow.answerObjectName = name;
  return Success{};
}

Result<dispatch::ClaimOutcome, TableError>
OperationBatcher::OutcomeOf(const ClaimRow& aRow)
{
  if (aRow.answer) {
    return dispatch::ClaimOutcome(
      dispatch::ClaimRecorded{ *aRow.answer, aRow.digest });
  }
  if (aRow.answerObjectName.empty()) {
    return dispatch::ClaimOutcome(
      dispatch::ClaimHeld{ aRow.owner, aRow.digest });
  }
  auto text = VW_TRY(objects_.Get(aRow.answerObjectName));
  auto answer = DecodeAnswer(text);
  if (!answer) {
    return Failure{ TableError::Unavailable };
  }
  return dispatch::ClaimOutcome(
    dispatch::ClaimRecorded{ *answer, aRow.digest });
}

}
