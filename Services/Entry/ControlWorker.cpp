#include "Services/Entry/ControlWorker.h"

#include "LibPlatform/FenceRow.h"
#include "LibPlatform/PatchWriter.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::entry {

namespace {
using Json = nlohmann::json;
constexpr const char* kEntryPrefix = "entry/";

std::string
EntryKey(const EntryId& aEntry)
{
  return kEntryPrefix + aEntry.Value();
}

std::optional<dispatch::MemberRow>
DecodeMember(const platform::TableRow& aRow)
{
  auto json = Json::parse(aRow.value, nullptr, false);
  bool isValid = json.is_object() && json.contains("incarnation") &&
                 json["incarnation"].is_number_unsigned() &&
                 json.contains("address") && json["address"].is_string();
  if (!isValid) {
    return {};
  }
  return dispatch::MemberRow{
    { EntryId(aRow.key.substr(std::string(kEntryPrefix).size())),
      Incarnation(json["incarnation"].get<std::uint64_t>()) },
    json["address"].get<std::string>(),
    aRow.version
  };
}
}

ControlWorker::ControlWorker(std::unique_ptr<platform::TableService> aTable,
                             ControlOptions aOptions,
                             OnSnapshot aOnSnapshot)
  : table_(std::move(aTable))
  , options_(std::move(aOptions))
  , onSnapshot_(std::move(aOnSnapshot))
  , thread_([this] { Run(); })
{
}

ControlWorker::~ControlWorker()
{
  {
    std::scoped_lock lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
ControlWorker::SetIncarnation(Incarnation aIncarnation)
{
  {
    std::scoped_lock lock(mutex_);
    options_.incarnation = aIncarnation;
    lastRenewal_ = {};
  }
  wake_.notify_all();
}

void
ControlWorker::DeleteLapsedMember(const dispatch::MemberRow& aRow)
{
  std::scoped_lock lock(mutex_);
  lapsedMembers_.push_back(aRow);
}

void
ControlWorker::Leave()
{
  {
    std::scoped_lock lock(mutex_);
    isStopping_ = true;
    deletesOwnRowOnStop_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void
ControlWorker::Run()
{
  while (true) {
    bool wasMember = isMember_;
    Poll();
    DeleteLapsedMembers();
    std::unique_lock lock(mutex_);
    // Other entries take this one into account only once its row exists, so
    // the table is read again right after that row was first written.
    if (!isStopping_ && wasMember == isMember_) {
      wake_.wait_for(lock, options_.pollInterval);
    }
    if (isStopping_) {
      break;
    }
  }
  if (deletesOwnRowOnStop_) {
    DeleteOwnRow();
  }
}

void
ControlWorker::Poll()
{
  ControlSnapshot snapshot;
  snapshot.readSentAt = MonotonicNow();
  auto read = table_->Read(
    { { platform::PatchWriter::kConfigurationKey, platform::kFencesKey },
      { kEntryPrefix } });
  if (read.IsError()) {
    return;
  }
  for (const auto& row : read.Value().rows) {
    if (row.key == platform::PatchWriter::kConfigurationKey) {
      auto document = platform::PatchWriter::Decode(row.value);
      if (document.IsError()) {
        // FIXME: Log that a newer release may have written a document that this
        // release can't read.
        return;
      }
      snapshot.configuration = document.ReleaseValue();
    } else if (row.key == platform::kFencesKey) {
      snapshot.fences = platform::DecodeFences(row.value);
    } else if (auto member = DecodeMember(row)) {
      snapshot.members.push_back(*member);
    }
  }
  auto members = snapshot.members;
  onSnapshot_(std::move(snapshot));
  Renew(members);
}

void
ControlWorker::Renew(const std::vector<dispatch::MemberRow>& aMembers)
{
  Incarnation incarnation;
  {
    std::scoped_lock lock(mutex_);
    if (MonotonicNow() - lastRenewal_ < options_.renewalInterval) {
      return;
    }
    incarnation = options_.incarnation;
  }
  std::uint64_t version = platform::kAbsentVersion;
  for (const auto& member : aMembers) {
    if (member.identity.entry != options_.entry) {
      continue;
    }
    if (member.identity.incarnation > incarnation) {
      // A later process runs under the same entry id and owns the row. The
      // rest of this process learns that from the snapshot.
      return;
    }
    version = member.rowVersion;
  }
  Json row{ { "incarnation", incarnation.Value() },
            { "address", options_.address },
            { "renewal", ++renewalCount_ } };
  auto result = table_->Transact(
    { { { EntryKey(options_.entry), version, row.dump(), {} } } });
  std::scoped_lock lock(mutex_);
  bool isSameIncarnation = options_.incarnation == incarnation;
  if (isSameIncarnation && !result.IsError() && result.Value().committed) {
    isMember_ = true;
    lastRenewal_ = MonotonicNow();
  }
}

void
ControlWorker::DeleteLapsedMembers()
{
  std::vector<dispatch::MemberRow> lapsedMembers;
  {
    std::scoped_lock lock(mutex_);
    lapsedMembers.swap(lapsedMembers_);
  }
  for (const auto& row : lapsedMembers) {
    // The transaction fails if the row was renewed meanwhile, since a renewal
    // changes the row's version.
    (void)table_->Transact({ { { EntryKey(row.identity.entry),
                                 row.rowVersion,
                                 std::nullopt,
                                 {} } } });
  }
}

void
ControlWorker::DeleteOwnRow()
{
  auto read = table_->Read({ { EntryKey(options_.entry) }, {} });
  if (read.IsError()) {
    return;
  }
  for (const auto& row : read.Value().rows) {
    auto member = DecodeMember(row);
    if (member && member->identity.incarnation == options_.incarnation) {
      (void)table_->Transact(
        { { { row.key, row.version, std::nullopt, {} } } });
    }
  }
}

}
