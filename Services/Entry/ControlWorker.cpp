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
  bool isWhole = json.is_object() && json.contains("incarnation") &&
                 json["incarnation"].is_number_unsigned() &&
                 json.contains("address") && json["address"].is_string();
  if (!isWhole) {
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
    ending_ = true;
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
ControlWorker::Forget(const dispatch::MemberRow& aRow)
{
  std::scoped_lock lock(mutex_);
  forget_.push_back(aRow);
}

void
ControlWorker::Leave()
{
  {
    std::scoped_lock lock(mutex_);
    ending_ = true;
    leaving_ = true;
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
    ForgetMembers();
    std::unique_lock lock(mutex_);
    // What other entries decide counts only once this one has a row, so the
    // first rows are read again at once.
    if (!ending_ && wasMember == isMember_) {
      wake_.wait_for(lock, options_.poll);
    }
    if (ending_) {
      break;
    }
  }
  if (leaving_) {
    DeleteOwnRow();
  }
}

void
ControlWorker::Poll()
{
  ControlSnapshot snapshot;
  snapshot.startedAt = MonotonicNow();
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
        // FIXME: Say that a newer release wrote what this one can't read.
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
    if (MonotonicNow() - lastRenewal_ < options_.renewal) {
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
      // A later process has this name. It owns the row, and the snapshot
      // tells the rest of this process.
      return;
    }
    version = member.rowVersion;
  }
  Json row{ { "incarnation", incarnation.Value() },
            { "address", options_.address },
            { "renewal", ++renewals_ } };
  auto result = table_->Transact(
    { { { EntryKey(options_.entry), version, row.dump(), {} } } });
  std::scoped_lock lock(mutex_);
  bool isCurrent = options_.incarnation == incarnation;
  if (isCurrent && !result.IsError() && result.Value().committed) {
    isMember_ = true;
    lastRenewal_ = MonotonicNow();
  }
}

void
ControlWorker::ForgetMembers()
{
  std::vector<dispatch::MemberRow> forget;
  {
    std::scoped_lock lock(mutex_);
    forget.swap(forget_);
  }
  for (const auto& row : forget) {
    // A row that was renewed meanwhile has another version and stays.
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
