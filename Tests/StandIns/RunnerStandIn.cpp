#include "Tests/StandIns/RunnerStandIn.h"

#include "LibService/EventLoop.h"
#include "LibService/LoopHttpClient.h"

#include <algorithm>
#include <fmt/format.h>
#include <unistd.h>

namespace vanillaworks::standins {

namespace {
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr Milliseconds kReportInterval{ 500 };
constexpr Milliseconds kAdvanceInterval{ 5 };
/** Time from the start of a task until it crashes the runner. */
constexpr Milliseconds kCrashDelay{ 20 };

job::RunKey
ParseRunKey(const nlohmann::json& aBody)
{
  std::string task = aBody.at("task");
  return { SubmissionId(task.substr(0, task.find('.'))),
           { static_cast<std::uint32_t>(
               std::stoul(task.substr(task.rfind('.') + 1))),
             aBody.at("run") } };
}

std::string
FormatTaskName(const job::RunKey& aKey)
{
  return fmt::format("{}.0.0.{}", aKey.job.Value(), aKey.task.index);
}

const char*
EndKindName(job::EndKind aKind)
{
  switch (aKind) {
    case job::EndKind::Done:
      return "done";
    case job::EndKind::Failed:
      return "failed";
    case job::EndKind::Stopped:
      return "stopped";
    case job::EndKind::Lapsed:
      return "lapsed";
  }
  return "";
}

job::RunnerReport
InitialReport(const RunnerStandInOptions& aOptions)
{
  job::RunnerReport report;
  report.id = aOptions.id;
  report.startedMs = std::chrono::duration_cast<Milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  report.service = "tally";
  report.address = aOptions.listenAddress;
  report.domain = FailureDomainId(aOptions.domain);
  report.capacity = { aOptions.cpu, 100'000, 0 };
  return report;
}
}

RunnerStandIn::RunnerStandIn(service::EventLoop& aLoop,
                             RunnerStandInOptions aOptions)
  : loop_(aLoop)
  , options_(std::move(aOptions))
  , runner_(InitialReport(options_),
            options_.slowness,
            { [this](const job::RunKey& aKey) { RecordStart(aKey); },
              [this](const job::RunKey& aKey) { RecordEnd(aKey); } })
  , client_(std::make_unique<service::LoopHttpClient>(aLoop, 2))
{
  runner_.Crash(MonotonicNow());
  runner_.runTimeOf = [this](const job::RunKey& aKey) {
    return runTimes_[aKey];
  };
  runner_.failsTask = [this](const job::RunKey&) { return mode_ == "failing"; };
  Listen();
  controlServer_ = std::make_unique<StandInServer>(
    aLoop.Base(), options_.controlAddress, [this](ExchangePtr aExchange) {
      OnControl(aExchange);
    });
  aLoop.RunEvery(kReportInterval, [this] { Report(); });
  aLoop.RunEvery(kAdvanceInterval, [this] { runner_.Advance(MonotonicNow()); });
  Report();
}

RunnerStandIn::~RunnerStandIn() = default;

void
RunnerStandIn::Listen()
{
  server_ = std::make_unique<StandInServer>(
    loop_.Base(), options_.listenAddress, [this](ExchangePtr aExchange) {
      OnRequest(aExchange);
    });
}

void
RunnerStandIn::RecordStart(const job::RunKey& aKey)
{
  auto now = MonotonicNow();
  records_.push_back({ aKey, ToMicroseconds(now) });
  bool fits = runner_.Capacity().Fits(runner_.Used()) ||
              std::any_of(formerCapacities_.begin(),
                          formerCapacities_.end(),
                          [&](const auto& aFormer) {
                            return now < aFormer.countsUntil &&
                                   aFormer.capacity.Fits(runner_.Used());
                          });
  hasExceededCapacity_ |= !fits;
}

void
RunnerStandIn::RecordEnd(const job::RunKey& aKey)
{
  for (auto& record : records_) {
    if (record.key == aKey && record.endedAtUs == 0) {
      record.endedAtUs = ToMicroseconds(MonotonicNow());
    }
  }
}

void
RunnerStandIn::CrashUnder(const job::RunKey& aKey)
{
  if (!server_) {
    return;
  }
  for (auto& record : records_) {
    record.crashedRunner |= record.key == aKey && record.endedAtUs == 0;
  }
  GoDown();
}

void
RunnerStandIn::Leave()
{
  bool isAnswerLost = mode_ == "leaving_unheard";
  auto life = crashCount_;
  auto end = [this, life] {
    if (life == crashCount_) {
      GoDown();
    }
  };
  client_->Call(
    { "POST",
      fmt::format("http://{}/Instances.Deregister/{}",
                  options_.agentAddress,
                  options_.id),
      "",
      {},
      Milliseconds(1000) },
    [this, isAnswerLost, end](const service::LoopHttpResponse& aResponse) {
      if (aResponse.status == kOk && !isAnswerLost) {
        end();
        return;
      }
      loop_.RunAfter(kUnheardStay, end);
    });
}

void
RunnerStandIn::GoDown()
{
  ++crashCount_;
  if (mode_.starts_with("leaving")) {
    mode_ = "up";
  }
  server_.reset();
  runner_.Crash(MonotonicNow());
  loop_.RunAfter(kDownTime, [this] {
    runner_.Crash(MonotonicNow());
    Listen();
    Report();
  });
}

void
RunnerStandIn::ApplyCapacity()
{
  auto capacity = runner_.Capacity();
  if (capacity.cpu == options_.cpu) {
    return;
  }
  if (options_.cpu < capacity.cpu) {
    formerCapacities_.push_back({ capacity, MonotonicNow() + kRoomGrace });
  }
  capacity.cpu = options_.cpu;
  runner_.SetCapacity(capacity);
}

void
RunnerStandIn::Report()
{
  bool isLeaving = mode_.starts_with("leaving");
  if (mode_ == "silent" || isLeaving || !server_) {
    return;
  }
  ApplyCapacity();
  runner_.SetState(mode_ == "draining" ? job::RunnerState::Draining
                                       : job::RunnerState::Ready);
  auto report = runner_.Report(MonotonicNow());
  Json body{ { "service", report.service },
             { "address", report.address },
             { "zone", report.domain.Value() },
             { "version", "v1" },
             { "slots", 8 },
             { "state", mode_ == "draining" ? "draining" : "ready" },
             { "capacity",
               { { "cpu", report.capacity.cpu },
                 { "memMb", report.capacity.memory },
                 { "gpus", 0 } } },
             { "labels", Json::array({ "a" }) },
             { "clockMs", report.clockMs },
             { "born", report.startedMs },
             { "seq", report.sequence } };
  client_->Call({ "POST",
                  fmt::format("http://{}/Instances.Heartbeat/{}",
                              options_.agentAddress,
                              options_.id),
                  body.dump(),
                  {},
                  Milliseconds(400) },
                [](const service::LoopHttpResponse&) {});
}

void
RunnerStandIn::OnRequest(const ExchangePtr& aExchange)
{
  auto path = aExchange->Path();
  auto body = Json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    aExchange->Respond(kBadRequest, "{}");
    return;
  }
  if (mode_ == "silent") {
    return;
  }
  if (path == "/run-start") {
    OnStart(aExchange, body);
  } else if (path == "/run-stop") {
    OnStop(aExchange, body);
  } else if (path == "/hold") {
    OnHold(aExchange, body);
  } else {
    aExchange->Respond(kBadRequest, "{}");
  }
}

void
RunnerStandIn::OnControl(const ExchangePtr& aExchange)
{
  if (aExchange->Path() == "/starts") {
    RespondWithStarts(aExchange);
    return;
  }
  auto body = Json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    aExchange->Respond(kBadRequest, "{}");
    return;
  }
  options_.cpu = body.value("capacity", options_.cpu);
  if (body.contains("crashTask")) {
    crashTasks_.insert(body.at("crashTask"));
  }
  if (body.contains("mode")) {
    SetMode(body.at("mode"));
  }
  aExchange->Respond(kOk, "{}");
}

void
RunnerStandIn::SetMode(const std::string& aMode)
{
  // What was announced is not taken back, and a runner that is down announces
  // nothing.
  bool isLeaving = mode_.starts_with("leaving");
  bool mayLeave = server_ != nullptr;
  if (isLeaving || (aMode.starts_with("leaving") && !mayLeave)) {
    return;
  }
  mode_ = aMode;
  if (mode_ == "crashing") {
    runner_.Crash(MonotonicNow());
  }
  if (mode_.starts_with("leaving")) {
    Leave();
  }
}

job::RunnerTarget
RunnerStandIn::ParseTarget(const Json& aBody) const
{
  return { options_.id, options_.listenAddress, aBody.at("fencingToken") };
}

nlohmann::json
RunnerStandIn::CommonFields()
{
  auto report = runner_.Identity();
  return { { "clockMs", runner_.Report(MonotonicNow()).clockMs },
           { "born", report.startedMs } };
}

void
RunnerStandIn::OnStart(const ExchangePtr& aExchange, const Json& aBody)
{
  auto key = ParseRunKey(aBody);
  runTimes_[key] = Milliseconds(std::atoi(aBody.value("spec", "100").c_str()));
  auto result = runner_.Start({ ParseTarget(aBody),
                                key,
                                "",
                                aBody.value("deadlineMs", std::int64_t{ 0 }),
                                {} },
                              MonotonicNow());
  if (result == job::StartResult::Started &&
      crashTasks_.contains(FormatTaskName(key))) {
    loop_.RunAfter(kCrashDelay, [this, key] { CrashUnder(key); });
  }
  if (mode_ == "ending" && result == job::StartResult::Started) {
    ::_exit(kEndedAtStart);
  }
  if (mode_ == "losing" && ++losingModeStarts_ % 3 != 0) {
    return;
  }
  auto body = CommonFields();
  if (result == job::StartResult::Started) {
    aExchange->Respond(kOk, body.dump());
    return;
  }
  body["reason"] = result == job::StartResult::Fenced   ? "fence"
                   : result == job::StartResult::OldRun ? "old"
                                                        : "late";
  aExchange->Respond(kConflict, body.dump());
}

void
RunnerStandIn::OnStop(const ExchangePtr& aExchange, const Json& aBody)
{
  auto result = runner_.Stop({ ParseTarget(aBody), ParseRunKey(aBody), {} },
                             MonotonicNow());
  auto body = CommonFields();
  if (result == job::StopResult::Fenced) {
    body["reason"] = "fence";
    aExchange->Respond(kConflict, body.dump());
    return;
  }
  aExchange->Respond(kOk, body.dump());
}

void
RunnerStandIn::OnHold(const ExchangePtr& aExchange, const Json& aBody)
{
  job::HoldCall call{ ParseTarget(aBody),
                      aBody.value("deadlineMs", std::int64_t{ 0 }),
                      aBody.value("lastSeen", std::uint64_t{ 0 }),
                      Milliseconds(aBody.value("waitMs", 0)) };
  auto now = MonotonicNow();
  runner_.Hold(call, now);
  CompleteHold(aExchange, call, now + call.wait);
}

void
RunnerStandIn::CompleteHold(const ExchangePtr& aExchange,
                            const job::HoldCall& aCall,
                            MonotonicTime aDeadline)
{
  auto now = MonotonicNow();
  if (!runner_.HasUnseenEnds(aCall) && now < aDeadline) {
    auto next = [this, aExchange, aCall, aDeadline, life = crashCount_] {
      if (life == crashCount_) {
        CompleteHold(aExchange, aCall, aDeadline);
      }
    };
    server_->RunAfter(kAdvanceInterval, next);
    return;
  }
  auto answer = runner_.Hold(aCall, now);
  auto body = CommonFields();
  if (answer.result != job::HoldResult::Answered) {
    body["reason"] = "fence";
    aExchange->Respond(kConflict, body.dump());
    return;
  }
  body["running"] = Json::array();
  for (const auto& row : answer.running) {
    body["running"].push_back(
      { FormatTaskName(row.key), row.key.task.run, "", row.percent });
  }
  body["finished"] = Json::array();
  for (const auto& row : answer.finished) {
    body["finished"].push_back({ row.number,
                                 FormatTaskName(row.key),
                                 row.key.task.run,
                                 EndKindName(row.kind),
                                 "" });
  }
  aExchange->Respond(kOk, body.dump());
}

void
RunnerStandIn::RespondWithStarts(const ExchangePtr& aExchange) const
{
  auto rows = Json::array();
  for (const auto& record : records_) {
    rows.push_back({ { "job", record.key.job.Value() },
                     { "task", record.key.task.index },
                     { "began", record.startedAtUs },
                     { "ended", record.endedAtUs },
                     { "crashed", record.crashedRunner } });
  }
  aExchange->Respond(
    kOk,
    Json{ { "starts", rows }, { "wentOver", hasExceededCapacity_ } }.dump());
}

}
