#include "Platform-3.h"

#include <algorithm>
#include <chrono>

namespace review {

namespace {
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirected = 421;
constexpr std::int64_t kLongestLeaseMs = 1000;
constexpr std::int64_t kReportIntervalMs = 1500;
constexpr std::int64_t kAdvanceIntervalMs = 5;

std::string
EncodeBase64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t group = 0;
    auto count = std::min<std::size_t>(3, aText.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      auto byte = j < count ? static_cast<unsigned char>(aText[i + j]) : 0U;
      group = (group << 8U) | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded += j <= count ? kDigits[(group >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return encoded;
}

std::string
QueryOf(const std::string& aTarget, const std::string& aName)
{
  for (const auto* separator : { "?", "&" }) {
    auto key = separator + aName + "=";
    auto position = aTarget.find(key);
    if (position != std::string::npos) {
      auto begin = position + key.size();
      return aTarget.substr(begin, aTarget.find('&', begin) - begin);
    }
  }
  return "";
}

std::uint64_t
NumberOf(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoull(aText);
}
}

Store3::Store3(const std::string& aAddress)
  : server_(aAddress,
            [this](const HttpMessage& aRequest) { return Handle(aRequest); })
{
}

void
Store3::Put(const std::string& aTable,
            const std::string& aKey,
            const std::string& aText)
{
  std::scoped_lock lock(mutex_);
  rows_[{ aTable, aKey }] = { EncodeBase64(aText), ++ver_, false };
  changed_.notify_all();
}

HttpReply
Store3::Handle(const HttpMessage& aRequest)
{
  auto target = aRequest.Target();
  if (target.starts_with("/rows-tx")) {
    auto body = Json::parse(aRequest.body, nullptr, false);
    return body.is_object() ? Transact(body) : HttpReply{ kBadRequest, "{}" };
  }
  auto table = QueryOf(target, "table");
  if (target.starts_with("/rows-feed")) {
    return Feed(table,
                NumberOf(QueryOf(target, "after")),
                static_cast<std::int64_t>(NumberOf(QueryOf(target, "waitMs"))));
  }
  if (!target.starts_with("/rows-get")) {
    return { kNotFound, "{}" };
  }
  std::scoped_lock lock(mutex_);
  auto rows = Select(table, 0, false);
  auto from = QueryOf(target, "from");
  auto limit = NumberOf(QueryOf(target, "limit"));
  auto chosen = Json::array();
  for (const auto& row : rows) {
    bool isIn = row.at("key").get<std::string>() >= from &&
                (limit == 0 || chosen.size() < limit);
    if (isIn) {
      chosen.push_back(row);
    }
  }
  return { kOk,
           Json{ { "rows", chosen },
                 { "hasMore", false },
                 { "ver", ver_ },
                 { "nowMs", NowMs() } }
             .dump() };
}

HttpReply
Store3::Transact(const Json& aBody)
{
  std::scoped_lock lock(mutex_);
  for (const auto& item : aBody.value("expectedRev", Json::array())) {
    const auto& row = rows_[{ item.at("table"), item.at("key") }];
    if ((row.isDeleted ? 0 : row.ver) != item.at("ver")) {
      return { kPreconditionFailed, R"({"rows":[]})" };
    }
  }
  for (const auto* list : { "puts", "remove" }) {
    for (const auto& item : aBody.value(list, Json::array())) {
      if (item.at("table") == "op" || item.at("table") == "servers") {
        return { kForbidden, "{}" };
      }
    }
  }
  ++ver_;
  for (const auto& item : aBody.value("puts", Json::array())) {
    rows_[{ item.at("table"), item.at("key") }] = { item.at("value"),
                                                    ver_,
                                                    false };
  }
  for (const auto& item : aBody.value("remove", Json::array())) {
    rows_[{ item.at("table"), item.at("key") }] = { "", ver_, true };
  }
  changed_.notify_all();
  return { kOk, Json{ { "ver", ver_ }, { "nowMs", NowMs() } }.dump() };
}

Json
Store3::Select(const std::string& aTable,
               std::uint64_t aAfter,
               bool aWithDeleted) const
{
  auto rows = Json::array();
  for (const auto& [key, row] : rows_) {
    bool isChosen = key.first == aTable && row.ver > aAfter &&
                    (aWithDeleted || !row.isDeleted);
    if (!isChosen) {
      continue;
    }
    Json item{ { "table", aTable },
               { "part", "" },
               { "key", key.second },
               { "value", row.value },
               { "ver", row.ver } };
    if (row.isDeleted) {
      item["deleted"] = true;
    }
    rows.push_back(std::move(item));
  }
  return rows;
}

HttpReply
Store3::Feed(const std::string& aTable,
             std::uint64_t aAfter,
             std::int64_t aWaitMs)
{
  std::unique_lock lock(mutex_);
  auto until =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aWaitMs);
  auto rows = Select(aTable, aAfter, true);
  while (rows.empty() &&
         changed_.wait_until(lock, until) == std::cv_status::no_timeout) {
    rows = Select(aTable, aAfter, true);
  }
  return {
    kOk, Json{ { "rows", rows }, { "ver", ver_ }, { "nowMs", NowMs() } }.dump()
  };
}

namespace {
std::int64_t
TimeOfDayMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}
}

Runner3::Runner3(std::string aId,
                 std::string aAddress,
                 std::string aAgent,
                 std::string aZone)
  : id_(std::move(aId))
  , address_(std::move(aAddress))
  , agent_(std::move(aAgent))
  , zone_(std::move(aZone))
  , bornAt_(NowMs())
  , born_(TimeOfDayMs())
  , server_(address_,
            [this](const HttpMessage& aRequest) { return Handle(aRequest); })
{
  std::thread([this] { AdvanceForever(); }).detach();
  std::thread([this] { ReportForever(); }).detach();
}

std::vector<RunRecord3>
Runner3::Records()
{
  std::scoped_lock lock(mutex_);
  return records_;
}

void
Runner3::DelayStartOf(const std::string& aJob, std::int64_t aDelayMs)
{
  std::scoped_lock lock(mutex_);
  delayedJob_ = aJob;
  delayMs_ = aDelayMs;
}

bool
Runner3::HasDelayedStart()
{
  std::scoped_lock lock(mutex_);
  return hasDelayedStart_;
}

void
Runner3::Crash()
{
  {
    std::scoped_lock lock(mutex_);
    isDown_ = true;
    for (const auto& [task, item] : active_) {
      records_[item.record].endedAt = NowMs();
      records_[item.record].how = "with the crash";
    }
    active_.clear();
    barred_.clear();
    finished_.clear();
    lastEnd_ = 0;
    token_ = 0;
    leaseEnd_ = 0;
    ended_.notify_all();
  }
  server_.GoDown();
}

void
Runner3::Restart()
{
  std::scoped_lock lock(mutex_);
  isDown_ = false;
  ++life_;
  bornAt_ = NowMs();
  born_ = TimeOfDayMs();
  server_.ComeBack();
}

Json
Runner3::Common() const
{
  return { { "clockMs", Clock() }, { "born", born_ } };
}

HttpReply
Runner3::Refuse(const std::string& aReason) const
{
  auto body = Common();
  body["reason"] = aReason;
  return { kConflict, body.dump() };
}

HttpReply
Runner3::Handle(const HttpMessage& aRequest)
{
  auto expected = aRequest.headers.find("expect-instance");
  if (expected != aRequest.headers.end() && expected->second != id_) {
    return { kMisdirected, "{}" };
  }
  auto body = Json::parse(aRequest.body, nullptr, false);
  auto target = aRequest.Target();
  if (!body.is_object()) {
    return { kBadRequest, "{}" };
  }
  if (target == "/run-start") {
    return IsDelayed(body) ? HttpReply{ 0, "" } : Start(body);
  }
  if (target == "/run-stop") {
    return Stop(body);
  }
  return target == "/hold" ? Hold(body) : HttpReply{ kNotFound, "{}" };
}

bool
Runner3::TakeToken(const Json& aBody)
{
  auto token = aBody.value("fencingToken", std::uint64_t{ 0 });
  if (token < token_) {
    return false;
  }
  token_ = token;
  return true;
}

void
Runner3::ExtendLease(const Json& aBody)
{
  auto until = std::min(aBody.value("deadlineMs", std::int64_t{ 0 }),
                        Clock() + kLongestLeaseMs);
  leaseEnd_ = std::max(leaseEnd_, until);
}

bool
Runner3::IsDelayed(const Json& aBody)
{
  std::scoped_lock lock(mutex_);
  bool isChosen = !delayedJob_.empty() &&
                  aBody.at("task").get<std::string>().starts_with(delayedJob_);
  if (!isChosen) {
    return false;
  }
  delayedJob_.clear();
  hasDelayedStart_ = true;
  std::thread([this, aBody, delay = delayMs_] {
    SleepMs(delay);
    Start(aBody);
  }).detach();
  return true;
}

HttpReply
Runner3::Start(const Json& aBody)
{
  std::scoped_lock lock(mutex_);
  if (isDown_) {
    return { 0, "" };
  }
  Advance();
  if (!TakeToken(aBody)) {
    return Refuse("fence");
  }
  std::string task = aBody.at("task");
  std::uint64_t run = aBody.at("run");
  if (aBody.value("deadlineMs", std::int64_t{ 0 }) <= Clock()) {
    return Refuse("late");
  }
  ExtendLease(aBody);
  auto found = active_.find(task);
  if (found != active_.end() && found->second.run == run) {
    return { kOk, Common().dump() };
  }
  if (found != active_.end() || barred_[task] >= run) {
    return Refuse("old");
  }
  auto length = static_cast<std::int64_t>(NumberOf(aBody.value("spec", "100")));
  active_[task] = { run, length, records_.size() };
  records_.push_back({ id_, task, run, NowMs(), 0, "" });
  return { kOk, Common().dump() };
}

HttpReply
Runner3::Stop(const Json& aBody)
{
  std::scoped_lock lock(mutex_);
  Advance();
  if (!TakeToken(aBody)) {
    return Refuse("fence");
  }
  std::string task = aBody.at("task");
  std::uint64_t run = aBody.at("run");
  barred_[task] = std::max(barred_[task], run);
  auto found = active_.find(task);
  if (found != active_.end() && found->second.run <= run) {
    Finish(task, "stopped");
  }
  return { kOk, Common().dump() };
}

HttpReply
Runner3::Hold(const Json& aBody)
{
  std::unique_lock lock(mutex_);
  Advance();
  if (!TakeToken(aBody)) {
    return Refuse("fence");
  }
  ExtendLease(aBody);
  auto lastSeen = aBody.value("lastSeen", std::uint64_t{ 0 });
  std::erase_if(
    finished_, [lastSeen](const End& aEnd) { return aEnd.number <= lastSeen; });
  ended_.wait_for(
    lock,
    std::chrono::milliseconds(aBody.value("waitMs", std::int64_t{ 0 })),
    [this] { return !finished_.empty(); });
  auto body = Common();
  body["running"] = Json::array();
  for (const auto& [task, item] : active_) {
    auto elapsed = NowMs() - records_[item.record].startedAt;
    auto percent = item.lengthMs == 0 ? 0 : elapsed * 100 / item.lengthMs;
    body["running"].push_back({ task, item.run, "", percent });
  }
  body["finished"] = Json::array();
  for (const auto& end : finished_) {
    body["finished"].push_back({ end.number, end.task, end.run, end.how, "" });
  }
  return { kOk, body.dump() };
}

void
Runner3::Finish(const std::string& aTask, const std::string& aHow)
{
  auto item = active_.at(aTask);
  active_.erase(aTask);
  barred_[aTask] = std::max(barred_[aTask], item.run);
  records_[item.record].endedAt = NowMs();
  records_[item.record].how = aHow;
  finished_.push_back({ ++lastEnd_, aTask, item.run, aHow });
  ended_.notify_all();
}

void
Runner3::Advance()
{
  auto now = NowMs();
  bool hasLapsed = Clock() >= leaseEnd_;
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, item] : active_) {
    bool isDone = now - records_[item.record].startedAt >= item.lengthMs;
    if (isDone || hasLapsed) {
      ends.emplace_back(task, isDone ? "done" : "lapsed");
    }
  }
  for (const auto& [task, how] : ends) {
    Finish(task, how);
  }
}

void
Runner3::AdvanceForever()
{
  while (true) {
    SleepMs(kAdvanceIntervalMs);
    std::scoped_lock lock(mutex_);
    Advance();
  }
}

Json
Runner3::Report(std::uint64_t aSequence) const
{
  return { { "service", "tally" },
           { "address", address_ },
           { "zone", zone_ },
           { "version", "v1" },
           { "slots", 8 },
           { "state", "ready" },
           { "coldRemainingMs", 0 },
           { "capacity",
             { { "cpu", 16000 }, { "memMb", 65536 }, { "gpus", 0 } } },
           { "labels", Json::array({ "a", "r1-1" }) },
           { "clockMs", Clock() },
           { "born", born_ },
           { "seq", aSequence } };
}

void
Runner3::ReportForever()
{
  constexpr std::int64_t kPauseMs = 5;
  int life = 0;
  std::uint64_t sequence = 0;
  std::int64_t nextAt = 0;
  while (true) {
    SleepMs(kPauseMs);
    Json body;
    {
      std::scoped_lock lock(mutex_);
      bool isNew = life != life_;
      if (isDown_ || (!isNew && NowMs() < nextAt)) {
        continue;
      }
      life = life_;
      sequence = isNew ? 1 : sequence + 1;
      body = Report(sequence);
    }
    auto answer = review::Call(
      agent_, "POST", "/Instances.Heartbeat/" + id_, body.dump(), 1000);
    nextAt = NowMs() + (answer.Status() == kOk ? kReportIntervalMs : 200);
  }
}

}
