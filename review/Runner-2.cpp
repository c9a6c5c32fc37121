#include "review/Runner-2.h"

#include <algorithm>
#include <chrono>

namespace vanillaworks::review {

namespace {
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kMisdirected = 421;
/** heartbeatMs, holdMaxMs and drainMs of the users' pages. */
constexpr std::int64_t kReportIntervalMs = 1500;
constexpr std::int64_t kMaxLeaseMs = 1000;
constexpr std::int64_t kDrainMs = 2000;
/** A report counts as acknowledged if the answer arrives within this time. */
constexpr std::int64_t kAckMs = 1000;
constexpr std::int64_t kStepMs = 2;
constexpr std::size_t kMaxEnds = 500;
/** Of each task of the tests' jobs, in thousandths of a core. */
constexpr std::int64_t kTaskCpu = 6200;
/** A call without an answer may be carried out so much later. */
constexpr std::int64_t kLateMs = 2500;
constexpr std::int64_t kFailAfterMs = 200;
}

Runner::Runner(RunnerOptions aOptions, Record& aRecord)
  : options_(std::move(aOptions))
  , record_(aRecord)
  , bornAtMs_(NowMs())
  , born_(std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
  , lateHolds_(options_.lateHolds)
  , server_(options_.address,
            [this](const HttpRequest& aRequest) { return OnRequest(aRequest); })
{
  worker_ = std::thread([this] { Work(); });
  reporter_ = std::thread([this] {
    auto next = NowMs();
    while (!isOver_) {
      if (isReporting_ && NowMs() >= next) {
        next = NowMs() + kReportIntervalMs;
        Report();
      }
      SleepMs(kStepMs);
    }
  });
}

Runner::~Runner()
{
  isOver_ = true;
  {
    std::scoped_lock lock(mutex_);
    while (!running_.empty()) {
      EndTask(Key(running_.begin()->first), "gone with its runner");
    }
  }
  ended_.notify_all();
  worker_.join();
  reporter_.join();
}

Runner::Json
Runner::CommonFields() const
{
  return { { "clockMs", ClockMs() }, { "born", born_ } };
}

Runner::Json
Runner::NextReport()
{
  std::scoped_lock lock(mutex_);
  auto body = CommonFields();
  body["service"] = options_.service;
  body["address"] = options_.address;
  body["zone"] = options_.zone;
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = state_;
  body["coldRemainingMs"] = 0;
  body["capacity"] = { { "cpu", options_.cpu },
                       { "memMb", 262'144 },
                       { "gpus", 0 } };
  body["labels"] = { "a", "r1-3" };
  body["seq"] = sequence_ + 1;
  if (state_ == "draining") {
    body["remainingMs"] = kDrainMs;
  }
  return body;
}

bool
Runner::Report()
{
  auto body = NextReport();
  ++sequence_;
  auto response =
    Call(options_.agent,
         { "POST", "/Instances.Heartbeat/" + options_.id, {}, body.dump() },
         kAckMs);
  return response.status / 100 == 2;
}

bool
Runner::Drain()
{
  {
    std::scoped_lock lock(mutex_);
    state_ = "draining";
  }
  bool isAcknowledged = Report();
  record_.Write(options_.machine + " reports that it drains: " +
                (isAcknowledged ? "acknowledged" : "no answer"));
  return isAcknowledged;
}

bool
Runner::Leave()
{
  isReporting_ = false;
  record_.Write(options_.machine + " says that it leaves, with " +
                std::to_string(CountRunning()) + " tasks at work");
  auto response =
    Call(options_.agent,
         { "POST", "/Instances.Deregister/" + options_.id, {}, "" },
         kAckMs);
  record_.Write(options_.machine + " is answered " +
                std::to_string(response.status) + " (0: no answer)");
  return response.status / 100 == 2;
}

std::size_t
Runner::CountRunning()
{
  std::scoped_lock lock(mutex_);
  return running_.size();
}

std::optional<HttpResponse>
Runner::OnRequest(const HttpRequest& aRequest)
{
  if (isOver_) {
    return {};
  }
  auto expected = aRequest.headers.find("expect-instance");
  bool isOther =
    expected != aRequest.headers.end() && expected->second != options_.id;
  auto body = Json::parse(aRequest.body, nullptr, false);
  bool isLate = aRequest.path == "/hold" && lateHolds_-- > 0;
  if (isLate) {
    record_.Write(options_.machine + " leaves an order unanswered");
    auto until = NowMs() + kLateMs;
    while (!isOver_ && NowMs() < until) {
      SleepMs(kStepMs);
    }
  }
  std::unique_lock lock(mutex_);
  if (isOther) {
    return HttpResponse{ kMisdirected, CommonFields().dump() };
  }
  if (!body.is_object()) {
    return HttpResponse{ kBadRequest, CommonFields().dump() };
  }
  Advance();
  if (aRequest.path == "/run-start") {
    if (LeavesUnanswered(body)) {
      return {};
    }
    return OnStart(body);
  }
  if (aRequest.path == "/run-stop") {
    return OnStop(body);
  }
  if (aRequest.path != "/hold") {
    return HttpResponse{ kBadRequest, CommonFields().dump() };
  }
  if (!AcceptToken(body)) {
    return Refuse("fence");
  }
  ExtendLease(body);
  if (isLate) {
    return {};
  }
  auto lastSeen = body.value("lastSeen", std::uint64_t{ 0 });
  auto wait = std::chrono::milliseconds(body.value("waitMs", 0));
  ended_.wait_for(lock, wait, [this, lastSeen] {
    return isOver_ || (!finished_.empty() && ends_ > lastSeen);
  });
  if (isOver_) {
    return {};
  }
  return OnHold(body);
}

bool
Runner::LeavesUnanswered(const Json& aBody)
{
  auto& trouble = *options_.trouble;
  std::scoped_lock lock(trouble.mutex);
  if (trouble.unansweredStarts == 0) {
    return false;
  }
  --trouble.unansweredStarts;
  trouble.lateStarts.push_back(aBody);
  record_.Write(options_.machine + " leaves a start unanswered");
  return true;
}

bool
Runner::WillFail()
{
  auto& trouble = *options_.trouble;
  std::scoped_lock lock(trouble.mutex);
  return trouble.failures > 0 && trouble.failures-- > 0;
}

void
Runner::CarryOutLateStarts()
{
  std::vector<Json> bodies;
  {
    std::scoped_lock lock(options_.trouble->mutex);
    bodies.swap(options_.trouble->lateStarts);
  }
  for (const auto& body : bodies) {
    auto response = OnStart(body);
    record_.Write(options_.machine + " carries out a late start: " +
                  std::to_string(response.status) + " " + response.body);
  }
}

HttpResponse
Runner::Refuse(const std::string& aReason) const
{
  auto body = CommonFields();
  body["reason"] = aReason;
  return { kConflict, body.dump() };
}

bool
Runner::AcceptToken(const Json& aBody)
{
  auto token = aBody.value("fencingToken", std::uint64_t{ 0 });
  token_ = std::max(token_, token);
  return token == token_;
}

void
Runner::ExtendLease(const Json& aBody)
{
  auto until = aBody.value("deadlineMs", std::int64_t{ 0 });
  leaseUntilMs_ =
    std::max(leaseUntilMs_, std::min(until, ClockMs() + kMaxLeaseMs));
}

HttpResponse
Runner::OnStart(const Json& aBody)
{
  Key key(aBody.at("task"), aBody.at("run"));
  if (!AcceptToken(aBody)) {
    return Refuse("fence");
  }
  if (running_.contains(key)) {
    ExtendLease(aBody);
    return { kOk, CommonFields().dump() };
  }
  bool isOld = key.second <= lastNumber_[key.first];
  bool isLate = aBody.at("deadlineMs") <= ClockMs();
  if (isOld || isLate) {
    if (isOld) {
      ExtendLease(aBody);
    }
    return Refuse(isOld ? "old" : "late");
  }
  ExtendLease(aBody);
  auto work = std::stoll(aBody.value("spec", "100"));
  running_[key] = { record_.OnStarted(options_.machine, key.first, key.second),
                    NowMs(),
                    work };
  running_[key].fails = WillFail();
  auto used = static_cast<std::int64_t>(running_.size()) * kTaskCpu;
  if (used > options_.cpu) {
    wentOver_ = true;
    record_.Write("LIMIT: a start brings " + options_.machine + " to " +
                  std::to_string(used) + " of " + std::to_string(options_.cpu) +
                  " thousandths of a core");
  }
  return { kOk, CommonFields().dump() };
}

HttpResponse
Runner::OnStop(const Json& aBody)
{
  Key key(aBody.at("task"), aBody.at("run"));
  if (!AcceptToken(aBody)) {
    return Refuse("fence");
  }
  auto& last = lastNumber_[key.first];
  last = std::max(last, key.second);
  if (running_.contains(key)) {
    EndTask(key, "stopped");
  }
  return { kOk, CommonFields().dump() };
}

HttpResponse
Runner::OnHold(const Json& aBody)
{
  Advance();
  auto lastSeen = aBody.value("lastSeen", std::uint64_t{ 0 });
  std::erase_if(
    finished_, [lastSeen](const End& aEnd) { return aEnd.number <= lastSeen; });
  auto body = CommonFields();
  body["running"] = Json::array();
  for (const auto& [key, task] : running_) {
    constexpr std::int64_t kWhole = 100;
    auto percent =
      std::min(kWhole - 1, (NowMs() - task.startedMs) * kWhole / task.workMs);
    body["running"].push_back({ key.first, key.second, "", percent, 6200 });
  }
  body["finished"] = Json::array();
  for (const auto& end : finished_) {
    if (body["finished"].size() == kMaxEnds) {
      break;
    }
    body["finished"].push_back(
      { end.number, end.key.first, end.key.second, end.how, "" });
  }
  return { kOk, body.dump() };
}

void
Runner::EndTask(const Key& aKey, const std::string& aHow)
{
  auto found = running_.find(aKey);
  record_.OnEnded(found->second.record, aHow);
  running_.erase(found);
  auto& last = lastNumber_[aKey.first];
  last = std::max(last, aKey.second);
  finished_.push_back({ ++ends_, aKey, aHow });
  ended_.notify_all();
}

void
Runner::Advance()
{
  std::vector<Key> over;
  for (const auto& [key, task] : running_) {
    auto time = task.fails ? kFailAfterMs : task.workMs;
    if (NowMs() - task.startedMs >= time) {
      over.push_back(key);
    }
  }
  for (const auto& key : over) {
    EndTask(key, running_.at(key).fails ? "failed" : "done");
  }
  if (ClockMs() <= leaseUntilMs_) {
    return;
  }
  while (!running_.empty()) {
    EndTask(Key(running_.begin()->first), "lapsed");
  }
}

void
Runner::Work()
{
  auto carriesOutAfterMs = options_.carriesOutAfterMs;
  while (!isOver_) {
    SleepMs(kStepMs);
    std::scoped_lock lock(mutex_);
    if (isOver_) {
      return;
    }
    Advance();
    if (carriesOutAfterMs && ClockMs() >= *carriesOutAfterMs) {
      carriesOutAfterMs.reset();
      CarryOutLateStarts();
    }
  }
}

}
