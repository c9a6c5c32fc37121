#include "LibPlatform/ClaimKeeper.h"

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
EncodeUpstream(const RegisterOperation& aRegister, bool aReplaced)
{
  return Json{
    { "incarnation", aRegister.incarnation.Value() },
    { "replaced", aReplaced },
    { "gone", aRegister.gone }
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

/** What one Step() reads and writes. */
struct ClaimKeeper::Round
{
  std::map<std::string, TableRow> rows;
  TableTransaction transaction;
  std::set<std::string> written;
  std::map<EntryId, Incarnation> fences;
  std::uint64_t fencesVersion = kAbsent;
  bool fencesChanged = false;
  bool objectStoreDown = false;

  const TableRow* Find(const std::string& aKey) const
  {
    auto found = rows.find(aKey);
    bool isThere = found != rows.end() && found->second.version != kAbsent;
    return isThere ? &found->second : nullptr;
  }
  /** False where this transaction writes the row already. */
  bool Write(TableWrite aWrite)
  {
    if (!written.insert(aWrite.key).second) {
      return false;
    }
    transaction.writes.push_back(std::move(aWrite));
    return true;
  }
};

ClaimKeeper::ClaimKeeper(TableService& aTable,
                         ObjectStore& aObjects,
                         ClaimKeeperLimits aLimits)
  : table_(aTable)
  , objects_(aObjects)
  , limits_(aLimits)
{
}

void
ClaimKeeper::Add(TableOperation aOperation)
{
  operations_.push_back(std::move(aOperation));
}

TableRead
ClaimKeeper::NeededReads(std::size_t aCount) const
{
  TableRead read;
  bool needsFences = false;
  bool needsUpstreams = false;
  for (std::size_t i = 0; i < aCount; ++i) {
    std::visit(
      Overloaded{ [](const ClaimOperation&) {},
                  [&read](const WatchOperation& aWatch) {
                    read.keys.push_back(ClaimKey(aWatch.submission));
                  },
                  [&](const TakeOverOperation& aTakeOver) {
                    read.keys.push_back(ClaimKey(aTakeOver.submission));
                    needsFences = true;
                    needsUpstreams = true;
                  },
                  [&](const RecordOperation& aRecord) {
                    if (!versions_.contains(aRecord.answer.submission)) {
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

KeeperResult
ClaimKeeper::Step()
{
  auto count = std::min(operations_.size(), limits_.operationsInTransaction);
  Round round;
  auto read = NeededReads(count);
  if (!read.keys.empty() || !read.prefixes.empty()) {
    auto result = table_.Read(read);
    if (result.IsError()) {
      return KeeperResult::TableDown;
    }
    for (const auto& row : result.Value().rows) {
      round.rows[row.key] = row;
    }
  }
  if (const auto* fences = round.Find(kFencesKey)) {
    round.fences = DecodeFences(fences->value);
    round.fencesVersion = fences->version;
  }
  std::vector<TableOperation> rest;
  std::vector<TableOperation> writing;
  for (std::size_t i = 0; i < operations_.size(); ++i) {
    auto& operation = operations_[i];
    auto writesBefore = round.transaction.writes.size();
    bool isDone = i < count && Prepare(operation, round);
    if (isDone) {
      continue;
    }
    bool isWriting = round.transaction.writes.size() > writesBefore;
    (isWriting ? writing : rest).push_back(std::move(operation));
  }
  operations_ = std::move(rest);
  if (round.fencesChanged) {
    round.Write(
      { kFencesKey, round.fencesVersion, EncodeFences(round.fences), {} });
  }
  auto isDown = round.objectStoreDown;
  if (!round.transaction.writes.empty()) {
    auto result = table_.Transact(round.transaction);
    isDown = isDown || result.IsError();
    bool committed = !result.IsError() && result.Value().committed;
    if (!result.IsError() && !committed) {
      // Everything is tried again; rows that were not as expected are read
      // then, and a claim's conflict is looked at as if it were watched.
      std::set<std::string> conflicts;
      for (const auto& row : result.Value().conflicts) {
        conflicts.insert(row.key);
        round.rows[row.key] = row;
        versions_.erase(SubmissionId(row.key.substr(row.key.find('/') + 1)));
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
  return isDown ? KeeperResult::TableDown : KeeperResult::Progress;
}

bool
ClaimKeeper::Prepare(TableOperation& aOperation, Round& aRound)
{
  switch (aOperation.request.index()) {
    case 0:
      return PrepareClaim(aOperation, aRound);
    case 1:
      return PrepareWatch(aOperation, aRound);
    case 2:
      return PrepareTakeOver(aOperation, aRound);
    case 3:
      return PrepareRecord(aOperation, aRound);
    default:
      return PrepareRegister(aOperation, aRound);
  }
}

bool
ClaimKeeper::PrepareClaim(TableOperation& aOperation, Round& aRound)
{
  const auto& claim = std::get<ClaimOperation>(aOperation.request);
  auto key = ClaimKey(claim.submission);
  const auto* row = aRound.Find(key);
  auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
  if (value) {
    bool isOurs = value->owner == aOperation.self && !value->answer &&
                  value->answerObject.empty() && value->digest == claim.digest;
    if (isOurs) {
      // An earlier try took effect and its answer was lost.
      versions_[claim.submission] = row->version;
      aOperation.onClaim(dispatch::ClaimGranted{ aOperation.self });
      return true;
    }
    return AnswerFrom(*value, aOperation, aRound);
  }
  aRound.Write({ key,
                 kAbsent,
                 ClaimRow{ aOperation.self, claim.digest, 0, {}, {} }.Encode(),
                 claim.deadline + limits_.remember });
  return false;
}

bool
ClaimKeeper::PrepareWatch(TableOperation& aOperation, Round& aRound)
{
  const auto& watch = std::get<WatchOperation>(aOperation.request);
  const auto* row = aRound.Find(ClaimKey(watch.submission));
  auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
  if (!value) {
    aOperation.onClaim(dispatch::ClaimMissing{});
    return true;
  }
  return AnswerFrom(*value, aOperation, aRound);
}

bool
ClaimKeeper::PrepareTakeOver(TableOperation& aOperation, Round& aRound)
{
  const auto& takeOver = std::get<TakeOverOperation>(aOperation.request);
  auto key = ClaimKey(takeOver.submission);
  const auto* row = aRound.Find(key);
  auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
  if (!value) {
    aOperation.onClaim(dispatch::ClaimMissing{});
    return true;
  }
  bool hasEnded = value->answer || !value->answerObject.empty();
  if (value->owner == aOperation.self && !hasEnded) {
    // The takeover took effect in an earlier round, so the agents read now
    // are all that could have been entered before it, and later ones are
    // told of the fence as they are entered.
    dispatch::ClaimTakenOver taken{ aRound.fences, value->firstSequence, {} };
    for (const auto& [rowKey, upstream] : aRound.rows) {
      if (rowKey.starts_with(kUpstreamPrefix) && upstream.version != kAbsent) {
        if (auto decoded = DecodeUpstream(upstream)) {
          taken.upstreams.push_back(*decoded);
        }
      }
    }
    versions_[takeOver.submission] = row->version;
    aOperation.onClaim(std::move(taken));
    return true;
  }
  if (hasEnded || value->owner != takeOver.owner) {
    return AnswerFrom(*value, aOperation, aRound);
  }
  ClaimRow taken = *value;
  taken.owner = aOperation.self;
  if (taken.firstSequence == 0) {
    taken.firstSequence = row->version;
  }
  auto& fence = aRound.fences[takeOver.owner.entry];
  if (fence < takeOver.owner.incarnation) {
    fence = takeOver.owner.incarnation;
    aRound.fencesChanged = true;
  }
  aRound.Write({ key,
                 row->version,
                 taken.Encode(),
                 takeOver.deadline + limits_.remember });
  return false;
}

bool
ClaimKeeper::PrepareRecord(TableOperation& aOperation, Round& aRound)
{
  const auto& record = std::get<RecordOperation>(aOperation.request);
  const auto& id = record.answer.submission;
  ClaimRow next{ aOperation.self, record.digest, 0, {}, {} };
  auto known = versions_.find(id);
  std::uint64_t version = kAbsent;
  if (known != versions_.end()) {
    version = known->second;
  } else {
    const auto* row = aRound.Find(ClaimKey(id));
    auto value = row ? ClaimRow::Decode(row->value) : std::nullopt;
    if (!value) {
      aOperation.onClaim(dispatch::ClaimMissing{});
      return true;
    }
    bool isOpen = value->owner == aOperation.self && !value->answer &&
                  value->answerObject.empty();
    if (!isOpen) {
      return AnswerFrom(*value, aOperation, aRound);
    }
    version = row->version;
  }
  if (StoreAnswer(record.answer, next).IsError()) {
    aRound.objectStoreDown = true;
    return false;
  }
  aRound.Write({ ClaimKey(id),
                 version,
                 next.Encode(),
                 record.deadline + limits_.remember });
  return false;
}

bool
ClaimKeeper::PrepareRegister(TableOperation& aOperation, Round& aRound)
{
  const auto& request = std::get<RegisterOperation>(aOperation.request);
  const auto* row = aRound.Find(UpstreamKey(request.upstream));
  auto value = row ? DecodeUpstream(*row) : std::nullopt;
  if (value && value->incarnation == request.incarnation &&
      value->gone == request.gone) {
    // The row was there before this round's read, so the fences read with it
    // are all that were set before the agent could be found in the table.
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
                 row ? row->version : kAbsent,
                 EncodeUpstream(request, isReplaced),
                 {} });
  return false;
}

bool
ClaimKeeper::OnCommitted(TableOperation& aOperation, std::uint64_t aSequence)
{
  return std::visit(
    Overloaded{ [&](const ClaimOperation& aClaim) {
                 versions_[aClaim.submission] = aSequence;
                 aOperation.onClaim(dispatch::ClaimGranted{ aOperation.self });
                 return true;
               },
                [](const WatchOperation&) { return false; },
                // These are answered by what the next round reads.
                [](const TakeOverOperation&) { return false; },
                [&](const RecordOperation& aRecord) {
                  versions_.erase(aRecord.answer.submission);
                  aOperation.onClaim(
                    dispatch::ClaimRecorded{ aRecord.answer, aRecord.digest });
                  return true;
                },
                [](const RegisterOperation&) { return false; } },
    aOperation.request);
}

bool
ClaimKeeper::AnswerFrom(const ClaimRow& aRow,
                        TableOperation& aOperation,
                        Round& aRound)
{
  auto outcome = OutcomeOf(aRow);
  if (outcome.IsError()) {
    aRound.objectStoreDown = true;
    return false;
  }
  aOperation.onClaim(outcome.ReleaseValue());
  return true;
}

Result<Success, TableError>
ClaimKeeper::StoreAnswer(const dispatch::Answer& aAnswer, ClaimRow& aRow)
{
  auto text = EncodeAnswer(aAnswer);
  if (text.size() <= limits_.inlineAnswerBytes) {
    aRow.answer = aAnswer;
    return Success{};
  }
  // The owner's life is in the name, so that two lives never write the same
  // object with different answers.
  auto name = "answer-" + aRow.owner.entry.Value() + "-" +
              std::to_string(aRow.owner.incarnation.Value()) + "-" +
              std::to_string(std::hash<SubmissionId>{}(aAnswer.submission));
  VW_TRY(objects_.Put(name, text));
  aRow.answerObject = name;
  return Success{};
}

Result<dispatch::ClaimOutcome, TableError>
ClaimKeeper::OutcomeOf(const ClaimRow& aRow)
{
  if (aRow.answer) {
    return dispatch::ClaimOutcome(
      dispatch::ClaimRecorded{ *aRow.answer, aRow.digest });
  }
  if (aRow.answerObject.empty()) {
    return dispatch::ClaimOutcome(
      dispatch::ClaimHeld{ aRow.owner, aRow.digest });
  }
  auto text = VW_TRY(objects_.Get(aRow.answerObject));
  auto answer = DecodeAnswer(text);
  if (!answer) {
    return Failure{ TableError::Unavailable };
  }
  return dispatch::ClaimOutcome(
    dispatch::ClaimRecorded{ *answer, aRow.digest });
}

}
