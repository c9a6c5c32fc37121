#include "Services/Agent/JobAgent.h"

#include "LibCore/Log.h"
#include "LibService/ClientClosures.h"
#include "platform/OperatorRows.h"
#include "platform/RunnerCodec.h"

namespace vanillaworks::agent {

namespace {
constexpr Milliseconds kTickInterval{ 25 };
constexpr Milliseconds kEntriesPollInterval{ 1000 };
/** Longer while linked, since entries send their lists of entries. */
constexpr Milliseconds kEntriesPollIntervalLinked{ 10'000 };
/** May be long, since configuration updates also come over the links. */
constexpr Milliseconds kFeedLongPollTimeout{ 6000 };
/** The stop deadline is this much before the end of the grace period. */
constexpr Milliseconds kStopMargin{ 400 };
constexpr const char* kEntriesTable = "entries";
constexpr const char* kRunnersTable = "runners";
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

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
  , controlExchange_(
      control_,
      [this](MonotonicTime aNow) { supervisor_.OnControlChanged(aNow); })
  , supervisor_(settings_.upstream,
                NewIncarnation(),
                settings_.limits,
                control_,
                *this)
  , clients_(settings_.process.clientLimits,
             [this](service::ClientCloseReason aReason) {
               service::RecordClosedClient(metrics_, aReason);
             })
  , links_(aLoop.Base(),
           settings_.entries,
           control_,
           controlExchange_,
           supervisor_)
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
      kFeedLongPollTimeout,
      [this](const wire::TableFeed::Rows& aRows, std::uint64_t aRevision) {
        controlExchange_.Adopt(
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
  auto controlServer = service::LoopHttpServer::Create(
    loop_.Base(),
    { settings_.controlAddress },
    clients_,
    [this](Exchange aExchange) { OnRequest(aExchange); });
  if (controlServer.IsError()) {
    return false;
  }
  controlServer_ = controlServer.ReleaseValue();
  if (!settings_.process.metricsAddress.empty()) {
    auto metricsServer = service::LoopHttpServer::Create(
      loop_.Base(),
      { settings_.process.metricsAddress },
      clients_,
      [this](Exchange aExchange) { OnMetrics(*aExchange); });
    if (metricsServer.IsError()) {
      return false;
    }
    metricsServer_ = metricsServer.ReleaseValue();
  }
  feed_.Start();
  ReadEntries();
  LoadStoredRunnerReport();
  loop_.RunEvery(kTickInterval, [this] { OnTick(); });
  loop_.RunEvery(kEntriesPollInterval, [this] { ReadEntries(); });
  Log::Write(Event::ProcessStarted,
             { { "upstream", settings_.upstream.Value() } });
  return true;
}

void
JobAgent::OnMetrics(service::LoopHttpExchange& aExchange)
{
  metrics_.SetGauge("vanillaworks_links", links_.LinkedEntryCount());
  metrics_.SetGauge("vanillaworks_queued", supervisor_.Queued());
  metrics_.SetGauge("vanillaworks_client_connections", clients_.Count());
  metrics_.SetGauge("vanillaworks_configuration_version",
                    control_.Current().version.Value());
  metrics_.SetGauge("vanillaworks_dropped_log_lines", Log::Dropped());
  aExchange.Reply(kHttpOk, metrics_.Text());
}

void
JobAgent::ReadEntries()
{
  auto now = MonotonicNow();
  auto pollInterval = links_.LinkedEntryCount() > 0 ? kEntriesPollIntervalLinked
                                                    : kEntriesPollInterval;
  if (lastEntriesReadAt_ != MonotonicTime{} &&
      now - lastEntriesReadAt_ < pollInterval) {
    return;
  }
  lastEntriesReadAt_ = now;
  store_.Read(kEntriesTable, [this](wire::StoreRows aRows) {
    if (aRows.status != wire::StoreStatus::Done) {
      return;
    }
    std::vector<std::string> addresses;
    for (const auto& row : aRows.rows) {
      addresses.push_back(row.value);
    }
    links_.SetEntryAddresses(addresses);
  });
}

void
JobAgent::LoadStoredRunnerReport()
{
  // The runner reports only every one or two seconds; all but its room is known
  // before that.
  store_.ReadRow(
    kRunnersTable, settings_.upstream.Value(), [this](wire::StoreRows aRows) {
      if (aRows.rows.empty()) {
        return;
      }
      auto stored = wire::ParseStoredReport(aRows.rows.front().value);
      if (stored) {
        supervisor_.OnRunnerReport(*stored, MonotonicNow());
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
    OnLeaving(aExchange, path.substr(leave.size()));
    return;
  }
  aExchange->Reply(kHttpNotFound, "{}");
}

void
JobAgent::OnReport(const Exchange& aExchange, const std::string& aRunner)
{
  auto report = wire::ParseRunnerReport(aRunner, aExchange->Request().body);
  if (!report) {
    Log::Write(Event::RunnerReportSkipped, { { "runner", aRunner } });
    aExchange->Reply(kHttpBadRequest, R"({"reason":"unreadable"})");
    return;
  }
  supervisor_.OnRunnerReport(*report, MonotonicNow());
  aExchange->Reply(kHttpOk, "{}");
}

void
JobAgent::OnLeaving(const Exchange& aExchange, const std::string& aRunner)
{
  Log::Write(Event::RunnerLeft, { { "runner", aRunner } });
  auto answer = supervisor_.OnRunnerLeaving(
    aRunner,
    wire::ParseAnnouncedStart(aExchange->Request().body),
    MonotonicNow());
  if (answer == job::AnnouncementAnswer::Now) {
    aExchange->Reply(kHttpOk, "{}");
    return;
  }
  announcements_.push_back(aExchange);
}

void
JobAgent::OnRunnerReleased(const job::RunnerReleased& aEvent)
{
  Log::Write(Event::RunnerReleased,
             { { "runner", aEvent.runner },
               { "runs_announced", std::to_string(aEvent.runsAnnounced) },
               { "runs_left", std::to_string(aEvent.runsLeft) },
               { "waited_ms", std::to_string(aEvent.waited.count()) } });
  if (aEvent.runsLeft > 0) {
    metrics_.Counter("vanillaworks_unconfirmed_departures_total").Increment();
  }
  for (const auto& announcement : announcements_) {
    announcement->Reply(kHttpOk, "{}");
  }
  announcements_.clear();
}

void
JobAgent::CallStart(const job::StartCall& aCall)
{
  metrics_.Counter("vanillaworks_starts_total").Increment();
  runner_.Start(aCall,
                [this, key = aCall.key, token = aCall.target.token](
                  job::StartResult aResult) {
                  if (aResult == job::StartResult::Unknown) {
                    OnStartUnanswered(key);
                  }
                  supervisor_.OnStartAnswered(
                    key, token, aResult, MonotonicNow());
                });
}

void
JobAgent::OnStartUnanswered(const job::RunKey& aKey)
{
  metrics_.Counter("vanillaworks_unanswered_starts_total").Increment();
  Log::WriteRoutine(Event::StartUnanswered,
                    { { "job", aKey.job.Value() },
                      { "task", std::to_string(aKey.task.index) },
                      { "run", std::to_string(aKey.task.run) } });
}

void
JobAgent::CallStop(const job::StopCall& aCall)
{
  runner_.Stop(aCall,
               [this, key = aCall.key, token = aCall.target.token](
                 job::StopResult aResult) {
                 supervisor_.OnStopAnswered(
                   key, token, aResult, MonotonicNow());
               });
}

void
JobAgent::CallHold(std::uint64_t aNumber, const job::HoldCall& aCall)
{
  runner_.Hold(aCall, [this, aNumber](const job::HoldAnswer& aAnswer) {
    supervisor_.OnHoldAnswered(aNumber, aAnswer, MonotonicNow());
  });
}

void
JobAgent::SendToEntry(const EntryId& aEntry, protocol::Message aMessage)
{
  links_.Send(aEntry, std::move(aMessage));
}

void
JobAgent::OnRunEnded(const job::RunEnded& aEvent)
{
  const auto& end = aEvent.end;
  auto outcome = std::string(RunOutcomeName(end.outcome));
  auto task = std::to_string(end.task.index);
  auto run = std::to_string(end.task.run);
  auto elapsed = std::to_string(end.elapsedMs);
  if (end.outcome == protocol::RunOutcome::Done) {
    Log::WriteRoutine(Event::RunEnded,
                      { { "job", aEvent.job.Value() },
                        { "task", task },
                        { "run", run },
                        { "entry", aEvent.entry.Value() },
                        { "outcome", outcome },
                        { "elapsed_ms", elapsed } });
    return;
  }
  metrics_.Counter("vanillaworks_refusals_total", "reason", outcome)
    .Increment();
  auto evidence = std::string(EndEvidenceName(aEvent.evidence));
  metrics_.Counter("vanillaworks_lost_runs_total", "evidence", evidence)
    .Increment();
  Log::WriteRoutine(
    Event::RunEnded,
    { { "job", aEvent.job.Value() },
      { "task", task },
      { "run", run },
      { "entry", aEvent.entry.Value() },
      { "outcome", outcome },
      { "elapsed_ms", elapsed },
      { "evidence", evidence },
      { "stop_reason", std::string(StopReasonName(aEvent.stopReason)) },
      { "since_stop_ms", std::to_string(aEvent.sinceStop.count()) },
      { "since_contact_ms", std::to_string(aEvent.sinceContact.count()) } });
}

void
JobAgent::OnUnexpectedRun(const job::RunKey& aRun)
{
  metrics_.Counter("vanillaworks_unexpected_runs_total").Increment();
  Log::Write(Event::UnexpectedRun,
             { { "job", aRun.job.Value() },
               { "task", std::to_string(aRun.task.index) },
               { "run", std::to_string(aRun.task.run) } });
}

void
JobAgent::SaveReport(const job::RunnerReport& aReport)
{
  store_.Put(kRunnersTable,
             settings_.upstream.Value(),
             wire::EncodeStoredReport(aReport),
             [](wire::StoreStatus) {});
}

void
JobAgent::OnReportIgnored(const job::RunnerReport& aReport)
{
  Log::Write(Event::RunnerReportIgnored,
             { { "runner", aReport.id },
               { "service", aReport.service },
               { "address", aReport.address } });
}

void
JobAgent::OnRunnerAdopted(const job::RunnerReport& aReport,
                          std::uint64_t aToken)
{
  Log::Write(
    Event::RunnerAdopted,
    { { "runner", aReport.id }, { "fencing_token", std::to_string(aToken) } });
}

void
JobAgent::OnTick()
{
  auto now = MonotonicNow();
  supervisor_.OnTick(now);
  links_.OnTick(now);
  clients_.ReleaseClosed();
  if (isStopping_) {
    CheckStop(now);
  }
  Log::Flush();
}

void
JobAgent::BeginStop()
{
  if (isStopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  isStopping_ = true;
  stopStartedAt_ = MonotonicNow();
  supervisor_.BeginStop(stopStartedAt_);
  links_.SendStatusNow();
}

void
JobAgent::CheckStop(MonotonicTime aNow)
{
  bool isBoundReached =
    aNow - stopStartedAt_ > settings_.process.grace - kStopMargin;
  if (!supervisor_.IsIdle() && !isBoundReached) {
    return;
  }
  if (!supervisor_.IsIdle()) {
    Log::Write(Event::StopBoundReached);
  }
  // The delay lets the event loop flush the last run reports.
  loop_.RunAfter(kTickInterval, [this] { loop_.Stop(); });
}

}
