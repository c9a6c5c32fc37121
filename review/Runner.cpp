#include "review/Runner.h"

#include <algorithm>

namespace review {

namespace {
constexpr std::int64_t kMaxLeaseMs = 1000;
constexpr std::int64_t kHeartbeatIntervalMs = 1500;
constexpr std::int64_t kHeartbeatTimeoutMs = 1000;
constexpr std::int64_t kStopMs = 5;
constexpr std::int64_t kCrashDownMs = 4500;
constexpr std::int64_t kWorkIntervalMs = 2;
constexpr const char* kCrashSpec = "crash";
}

Runner::Runner(RunnerOptions aOptions, Record& aRecord)
  : options_(std::move(aOptions))
  , record_(aRecord)
  , server_(options_.address,
            [this](const HttpRequest& aRequest) { return OnRequest(aRequest); })
{
}

Runner::~Runner()
{
  isClosing_ = true;
  if (worker_.joinable()) {
    worker_.join();
    reporter_.join();
  }
}

bool
Runner::Open()
{
  std::scoped_lock lock(mutex_);
  if (!server_.Open()) {
    return false;
  }
  BeginLife();
  worker_ = std::thread([this] {
    while (!isClosing_) {
      Work();
      SleepMs(kWorkIntervalMs);
    }
  });
  reporter_ = std::thread([this] {
    while (!isClosing_) {
      SendHeartbeat();
      SleepMs(kWorkIntervalMs);
    }
  });
  return true;
}

void
Runner::BeginLife()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  born_ = std::chrono::duration_cast<Milliseconds>(now).count();
  bootMs_ = NowMs();
  leaseUntilClockMs_ = 0;
  token_ = 0;
  sequence_ = 0;
  lastEnd_ = 0;
  active_.clear();
  highestEnded_.clear();
  finished_.clear();
  nextHeartbeatMs_ = NowMs();
  isUp_ = true;
  record_.Write(options_.id + " starts, born " + std::to_string(born_));
}

void
Runner::Crash(std::int64_t aDownMs)
{
  std::scoped_lock lock(mutex_);
  record_.Write(options_.id + " crashes");
  while (!active_.empty()) {
    auto first = active_.begin();
    records_[first->second.record].endedMs = NowMs();
    records_[first->second.record].how = "crash";
    active_.erase(first);
  }
  isUp_ = false;
  upAgainAtMs_ = NowMs() + aDownMs;
  server_.Close();
  changed_.notify_all();
}

std::vector<RunRecord>
Runner::Runs()
{
  std::scoped_lock lock(mutex_);
  return records_;
}

void
Runner::Work()
{
  std::scoped_lock lock(mutex_);
  if (!isUp_) {
    if (NowMs() >= upAgainAtMs_ && server_.Open()) {
      BeginLife();
    }
    return;
  }
  bool hasLapsed = ClockMs() >= leaseUntilClockMs_;
  std::vector<std::pair<RunKey, const char*>> ended;
  for (const auto& [key, run] : active_) {
    if (hasLapsed) {
      ended.emplace_back(key, "lapsed");
    } else if (run.stopAtMs != 0 && NowMs() >= run.stopAtMs) {
      ended.emplace_back(key, "stopped");
    } else if (NowMs() >= run.startedMs + run.lastsMs) {
      ended.emplace_back(key, "done");
    }
  }
  for (const auto& [key, how] : ended) {
    End(key, how);
  }
}

void
Runner::End(const RunKey& aKey, const char* aHow)
{
  auto found = active_.find(aKey);
  auto& record = records_[found->second.record];
  record.endedMs = NowMs();
  record.how = aHow;
  record_.Write(options_.id + " ended " + aKey.first + " run " +
                std::to_string(aKey.second) + ": " + aHow);
  active_.erase(found);
  auto& highest = highestEnded_[aKey.first];
  highest = std::max(highest, aKey.second);
  ++lastEnd_;
  finished_[lastEnd_] =
    Json::array({ lastEnd_, aKey.first, aKey.second, aHow, "" });
  changed_.notify_all();
}

HttpReply
Runner::OnRequest(const HttpRequest& aRequest)
{
  auto body = Json::parse(aRequest.body, nullptr, false);
  std::unique_lock lock(mutex_);
  if (!isUp_) {
    return { kReset, "" };
  }
  auto instance = aRequest.headers.find("expect-instance");
  bool isOther =
    instance != aRequest.headers.end() && instance->second != options_.id;
  if (isOther) {
    return { 421, CommonFields().dump() };
  }
  if (!body.is_object()) {
    return { 400, CommonFields().dump() };
  }
  if (!Fence(body)) {
    return Conflict("fence");
  }
  if (aRequest.path == "/run-start") {
    bool isCrash = body.value("spec", "") == kCrashSpec;
    auto reply = OnStart(body);
    if (isCrash && reply.status == 200) {
      lock.unlock();
      Crash(kCrashDownMs);
      return { kResetLast, "" };
    }
    return reply;
  }
  if (aRequest.path == "/run-stop") {
    return OnStop(body);
  }
  if (aRequest.path == "/hold") {
    return OnHold(body, lock);
  }
  return { 400, CommonFields().dump() };
}

bool
Runner::Fence(const Json& aBody)
{
  auto token = aBody.value("fencingToken", std::uint64_t{ 0 });
  if (token < token_) {
    return false;
  }
  token_ = token;
  return true;
}

void
Runner::ExtendLease(const Json& aBody)
{
  auto until = std::min(aBody.value("deadlineMs", std::int64_t{ 0 }),
                        ClockMs() + kMaxLeaseMs);
  leaseUntilClockMs_ = std::max(leaseUntilClockMs_, until);
}

Runner::Json
Runner::CommonFields() const
{
  return { { "clockMs", ClockMs() }, { "born", born_ } };
}

HttpReply
Runner::Conflict(const char* aReason) const
{
  auto body = CommonFields();
  body["reason"] = aReason;
  return { 409, body.dump() };
}

HttpReply
Runner::OnStart(const Json& aBody)
{
  RunKey key{ aBody.at("task"), aBody.at("run") };
  if (aBody.value("deadlineMs", std::int64_t{ 0 }) <= ClockMs()) {
    return Conflict("late");
  }
  ExtendLease(aBody);
  if (active_.contains(key)) {
    return { 200, CommonFields().dump() };
  }
  auto ended = highestEnded_.find(key.first);
  if (ended != highestEnded_.end() && key.second <= ended->second) {
    return Conflict("old");
  }
  std::string spec = aBody.value("spec", "100");
  auto lastsMs = spec == kCrashSpec ? 1 : std::stoll(spec);
  records_.push_back(
    { key.first, key.second, options_.id, options_.zone, NowMs(), 0, "" });
  active_[key] = { NowMs(), lastsMs, 0, records_.size() - 1 };
  record_.Write(options_.id + " started " + key.first + " run " +
                std::to_string(key.second));
  return { 200, CommonFields().dump() };
}

HttpReply
Runner::OnStop(const Json& aBody)
{
  RunKey key{ aBody.at("task"), aBody.at("run") };
  auto& highest = highestEnded_[key.first];
  highest = std::max(highest, key.second);
  auto found = active_.find(key);
  if (found != active_.end() && found->second.stopAtMs == 0) {
    found->second.stopAtMs = NowMs() + kStopMs;
  }
  return { 200, CommonFields().dump() };
}

bool
Runner::HasEndAfter(std::uint64_t aNumber) const
{
  return finished_.upper_bound(aNumber) != finished_.end();
}

HttpReply
Runner::OnHold(const Json& aBody, std::unique_lock<std::mutex>& aLock)
{
  auto lastSeen = aBody.value("lastSeen", std::uint64_t{ 0 });
  auto life = born_;
  ExtendLease(aBody);
  finished_.erase(finished_.begin(), finished_.upper_bound(lastSeen));
  changed_.wait_for(aLock, Milliseconds(aBody.value("waitMs", 0)), [&] {
    return !isUp_ || HasEndAfter(lastSeen);
  });
  if (!isUp_ || life != born_) {
    return { kReset, "" };
  }
  auto body = CommonFields();
  body["running"] = Json::array();
  for (const auto& [key, run] : active_) {
    auto percent =
      std::min<std::int64_t>(99, (NowMs() - run.startedMs) * 100 / run.lastsMs);
    body["running"].push_back(
      Json::array({ key.first, key.second, "", percent, 0 }));
  }
  body["finished"] = Json::array();
  for (const auto& [number, row] : finished_) {
    body["finished"].push_back(row);
  }
  return { 200, body.dump() };
}

Runner::Json
Runner::MakeReport(std::uint64_t aSequence) const
{
  return { { "service", options_.service },
           { "address", options_.address.Text() },
           { "zone", options_.zone },
           { "version", "v1" },
           { "slots", 8 },
           { "state", "ready" },
           { "coldRemainingMs", 0 },
           { "capacity",
             { { "cpu", options_.cpu }, { "memMb", 32768 }, { "gpus", 0 } } },
           { "labels", options_.labels },
           { "clockMs", ClockMs() },
           { "born", born_ },
           { "seq", aSequence } };
}

nlohmann::json
Runner::NextReport()
{
  std::scoped_lock lock(mutex_);
  return MakeReport(sequence_ + 1);
}

void
Runner::SendHeartbeat()
{
  Json body;
  {
    std::scoped_lock lock(mutex_);
    if (!isUp_ || NowMs() < nextHeartbeatMs_) {
      return;
    }
    nextHeartbeatMs_ = NowMs() + kHeartbeatIntervalMs;
    body = MakeReport(++sequence_);
  }
  auto result = Send({ options_.agent,
                       "POST",
                       "/Instances.Heartbeat/" + options_.id,
                       {},
                       body.dump(),
                       kHeartbeatTimeoutMs });
  if (result.status != 200) {
    // There is no other node to report to.
    std::scoped_lock lock(mutex_);
    constexpr std::int64_t kRetryMs = 300;
    nextHeartbeatMs_ = std::min(nextHeartbeatMs_, NowMs() + kRetryMs);
  }
}

}
