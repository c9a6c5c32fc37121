#include "Services/Agent/JobAgent.h"

#include "LibCore/Log.h"
#include "platform/OperatorRows.h"
#include "platform/RunnerCodec.h"

namespace vanillaworks::agent {

namespace {
constexpr Milliseconds kTick{ 25 };
constexpr Milliseconds kEntriesRead{ 1000 };
/** Entries tell of each other; the store is asked where none is linked. */
constexpr Milliseconds kEntriesReadLinked{ 10'000 };
/** News comes over the links too. */
constexpr Milliseconds kFeedWait{ 6000 };
constexpr Milliseconds kStopMargin{ 400 };
constexpr const char* kMembers = "entries";
constexpr const char* kRunners = "runners";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

Incarnation
NewIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count()));
}
}

JobAgent::JobAgent(JobAgentSettings aSettings, service::EventLoop& aLoop)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , news_(control_,
          [this](MonotonicTime aNow) { keeper_.OnControlChanged(aNow); })
  , keeper_(settings_.upstream,
            NewIncarnation(),
            settings_.limits,
            control_,
            *this)
  , links_(aLoop.Base(), settings_.entries, control_, news_, keeper_)
  , runner_(aLoop)
  , store_(aLoop,
           settings_.process.storeAddress,
           [this](wire::StoreStatus aStatus) {
             metrics_
               .Counter("vanillaworks_store_calls_total",
                        "outcome",
                        std::string(wire::StoreStatusName(aStatus)))
               .Increment();
           })
  , feed_(
      aLoop,
      store_,
      wire::kOperatorTable,
      kFeedWait,
      [this](const wire::TableFeed::Rows& aRows, std::uint64_t aRevision) {
        news_.Adopt(
          wire::DecodeOperatorRows(aRows, aRevision), "store", MonotonicNow());
      },
      [](bool aIsReachable) {
        Log::Write(aIsReachable ? Event::TableAvailable
                                : Event::TableUnavailable);
      })
{
}

JobAgent::~JobAgent() = default;

bool
JobAgent::Start()
{
  auto reports = service::LoopHttpServer::Create(
    loop_.Base(), { settings_.controlAddress }, [this](Exchange aExchange) {
      OnRequest(aExchange);
    });
  if (reports.IsError()) {
    return false;
  }
  reports_ = reports.ReleaseValue();
  if (!settings_.process.metricsAddress.empty()) {
    auto page = service::LoopHttpServer::Create(
      loop_.Base(),
      { settings_.process.metricsAddress },
      [this](Exchange aExchange) { OnMetrics(*aExchange); });
    if (page.IsError()) {
      return false;
    }
    metricsPage_ = page.ReleaseValue();
  }
  feed_.Start();
  ReadEntries();
  ReadKeptReport();
  loop_.RunEvery(kTick, [this] { OnTick(); });
  loop_.RunEvery(kEntriesRead, [this] { ReadEntries(); });
  Log::Write(Event::ProcessStarted,
             { { "upstream", settings_.upstream.Value() } });
  return true;
}

void
JobAgent::OnMetrics(service::LoopHttpExchange& aExchange)
{
  metrics_.SetGauge("vanillaworks_links", links_.Up());
  metrics_.SetGauge("vanillaworks_queued", keeper_.Queued());
  metrics_.SetGauge("vanillaworks_configuration_version",
                    control_.Current().version.Value());
  metrics_.SetGauge("vanillaworks_dropped_log_lines", Log::Dropped());
  aExchange.Reply(kOk, metrics_.Text());
}

void
JobAgent::ReadEntries()
{
  auto now = MonotonicNow();
  auto pause = links_.Up() > 0 ? kEntriesReadLinked : kEntriesRead;
  if (entriesReadAt_ != MonotonicTime{} && now - entriesReadAt_ < pause) {
    return;
  }
  entriesReadAt_ = now;
  store_.Read(kMembers, [this](wire::StoreRows aRows) {
    std::vector<std::string> addresses;
    for (const auto& row : aRows.rows) {
      addresses.push_back(row.value);
    }
    links_.LearnEntries(addresses);
  });
}

void
JobAgent::ReadKeptReport()
{
  // The runner reports each one or two seconds; work need not wait for that.
  store_.ReadRow(
    kRunners, settings_.upstream.Value(), [this](wire::StoreRows aRows) {
      if (aRows.rows.empty()) {
        return;
      }
      auto kept = wire::ParseStoredReport(aRows.rows.front().value);
      if (kept) {
        keeper_.OnRunnerReport(*kept, MonotonicNow());
      }
    });
}

void
JobAgent::OnRequest(const Exchange& aExchange)
{
  const auto& path = aExchange->Request().path;
  std::string report = wire::kReportPath;
  std::string leave = wire::kLeavePath;
  if (path.starts_with(report)) {
    OnReport(aExchange, path.substr(report.size()));
    return;
  }
  if (path.starts_with(leave)) {
    auto runner = path.substr(leave.size());
    Log::Write(Event::RunnerLeft, { { "runner", runner } });
    keeper_.OnRunnerLeft(runner, MonotonicNow());
    aExchange->Reply(kOk, "{}");
    return;
  }
  aExchange->Reply(kNotFound, "{}");
}

void
JobAgent::OnReport(const Exchange& aExchange, const std::string& aRunner)
{
  auto report = wire::ParseRunnerReport(aRunner, aExchange->Request().body);
  if (!report) {
    Log::Write(Event::RunnerReportSkipped, { { "runner", aRunner } });
    aExchange->Reply(kBadRequest, R"({"reason":"unreadable"})");
    return;
  }
  keeper_.OnRunnerReport(*report, MonotonicNow());
  aExchange->Reply(kOk, "{}");
}

void
JobAgent::CallStart(const job::StartCall& aCall)
{
  metrics_.Counter("vanillaworks_starts_total").Increment();
  runner_.Start(aCall,
                [this, key = aCall.key, token = aCall.target.token](
                  job::StartResult aResult) {
                  keeper_.OnStartAnswered(key, token, aResult, MonotonicNow());
                });
}

void
JobAgent::CallStop(const job::StopCall& aCall)
{
  runner_.Stop(aCall,
               [this, key = aCall.key, token = aCall.target.token](
                 job::StopResult aResult) {
                 keeper_.OnStopAnswered(key, token, aResult, MonotonicNow());
               });
}

void
JobAgent::CallHold(std::uint64_t aNumber, const job::HoldCall& aCall)
{
  runner_.Hold(aCall, [this, aNumber](const job::HoldAnswer& aAnswer) {
    keeper_.OnHoldAnswered(aNumber, aAnswer, MonotonicNow());
  });
}

void
JobAgent::SendToEntry(const EntryId& aEntry, protocol::Message aMessage)
{
  links_.Send(aEntry, std::move(aMessage));
}

void
JobAgent::OnRunEnded(const EntryId& aEntry,
                     const SubmissionId& aJob,
                     const protocol::RunEnd& aEnd)
{
  auto outcome = std::string(RunOutcomeName(aEnd.outcome));
  if (aEnd.outcome != protocol::RunOutcome::Done) {
    metrics_.Counter("vanillaworks_refusals_total", "reason", outcome)
      .Increment();
  }
  Log::WriteRoutine(Event::RunEnded,
                    { { "job", aJob.Value() },
                      { "task", std::to_string(aEnd.task.index) },
                      { "run", std::to_string(aEnd.task.run) },
                      { "entry", aEntry.Value() },
                      { "outcome", outcome },
                      { "elapsed_ms", std::to_string(aEnd.elapsedMs) } });
}

void
JobAgent::OnRunnerLife(const job::RunnerReport& aReport, std::uint64_t aToken)
{
  store_.Put(kRunners,
             settings_.upstream.Value(),
             wire::EncodeStoredReport(aReport),
             [](wire::StoreStatus) {});
  Log::Write(
    Event::RunnerAdopted,
    { { "runner", aReport.id }, { "fencing_token", std::to_string(aToken) } });
}

void
JobAgent::OnTick()
{
  auto now = MonotonicNow();
  keeper_.OnTick(now);
  links_.OnTick(now);
  if (stopping_) {
    CheckStop(now);
  }
  Log::Flush();
}

void
JobAgent::BeginStop()
{
  if (stopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  stopping_ = true;
  stopBeganAt_ = MonotonicNow();
  keeper_.BeginStop(stopBeganAt_);
  links_.SendStatusNow();
}

void
JobAgent::CheckStop(MonotonicTime aNow)
{
  bool isOver = aNow - stopBeganAt_ > settings_.process.grace - kStopMargin;
  if (!keeper_.IsIdle() && !isOver) {
    return;
  }
  if (!keeper_.IsIdle()) {
    Log::Write(Event::StopBoundReached);
  }
  // One more turn lets the last reports leave.
  loop_.RunAfter(kTick, [this] { loop_.Stop(); });
}

}
