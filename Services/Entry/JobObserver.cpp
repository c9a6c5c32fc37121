#include "Services/Entry/JobObserver.h"

#include "LibCore/Log.h"
#include "LibService/ClientClosures.h"

#include <cstdlib>

namespace vanillaworks::entry {

namespace {
/** The number of routes that get series of their own. */
constexpr std::size_t kMaxRouteSeries = 24;
const std::string kOverflowRoute = "other";

std::string
ToText(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

std::string
ToText(Milliseconds aTime)
{
  return std::to_string(aTime.count());
}

double
Seconds(Milliseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

std::uint64_t
ToCount(Milliseconds aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aTime.count(), 0));
}
}

JobObserver::JobObserver()
  : starts_(metrics_.Counter("vanillaworks_starts_total"))
  , placementError_(
      metrics_.LatencyHistogram("vanillaworks_placement_error_seconds"))
{
}

const JobObserver::RouteSeries&
JobObserver::SeriesOf(const std::string& aRoute)
{
  auto found = routes_.find(aRoute);
  if (found != routes_.end()) {
    return found->second;
  }
  bool isOverLimit =
    routes_.size() >= kMaxRouteSeries && aRoute != kOverflowRoute;
  if (isOverLimit) {
    return SeriesOf(kOverflowRoute);
  }
  auto series = [&](std::string_view aName) -> prometheus::Histogram& {
    return metrics_.LatencyHistogram(aName, "route", aRoute);
  };
  RouteSeries added{ series("vanillaworks_answer_seconds"),
                     series("vanillaworks_waiting_seconds"),
                     series("vanillaworks_running_seconds") };
  return routes_.emplace(aRoute, added).first->second;
}

void
JobObserver::CountRefusal(std::string_view aReason)
{
  metrics_
    .Counter("vanillaworks_refusals_total", "reason", std::string(aReason))
    .Increment();
}

void
JobObserver::OnAnswered(const job::JobRequest& aJob,
                        const job::JobAnswer& aAnswer,
                        int aStatus,
                        Milliseconds aElapsed)
{
  auto goal =
    std::chrono::duration_cast<Milliseconds>(aJob.Goal() - aJob.arrival);
  SeriesOf(aJob.route.name).answer.Observe(Seconds(aElapsed));
  auto reason = std::string(JobReasonName(aAnswer.reason));
  bool isRejected = aAnswer.state == job::JobState::Rejected;
  if (isRejected) {
    CountRefusal(reason);
  }
  Log::Write(isRejected ? Event::JobRejected : Event::JobAnswered,
             { { "job", aJob.id.Value() },
               { "route", aJob.route.name },
               { "status", ToText(std::int64_t{ aStatus }) },
               { "reason", reason },
               { "elapsed_ms", ToText(aElapsed) },
               { "goal_ms", ToText(goal) },
               { "tasks", ToText(std::int64_t{ aJob.tasks }) },
               { "orders", ToText(std::int64_t{ aAnswer.orders }) },
               { "estimate_ms", ToText(aJob.estimate) } });
}

void
JobObserver::OnPlaced(const job::TaskPlaced& aEvent)
{
  starts_.Increment();
  Log::WriteRoutine(
    Event::TaskPlaced,
    { { "job", aEvent.job.Value() },
      { "task", ToText(std::int64_t{ aEvent.task }) },
      { "run", ToText(std::int64_t{ aEvent.run }) },
      { "upstream", aEvent.upstream.Value() },
      { "candidates", ToText(static_cast<std::int64_t>(aEvent.candidates)) },
      { "start_in_ms", ToText(aEvent.startIn) },
      { "end_in_ms", ToText(aEvent.endIn) } });
}

void
JobObserver::OnEnded(const job::TaskEnded& aEvent)
{
  auto outcome = std::string(RunOutcomeName(aEvent.outcome));
  if (aEvent.outcome == protocol::RunOutcome::Done) {
    const auto& series = SeriesOf(aEvent.route);
    auto waited = aEvent.sincePlaced - aEvent.elapsed;
    auto error =
      Milliseconds(std::abs((aEvent.sincePlaced - aEvent.expected).count()));
    series.waiting.Observe(Seconds(waited));
    series.running.Observe(Seconds(aEvent.elapsed));
    placementError_.Observe(Seconds(error));
  } else {
    metrics_.Counter("vanillaworks_retries_total", "reason", outcome)
      .Increment();
  }
  Log::WriteRoutine(Event::TaskEnded,
                    { { "job", aEvent.job.Value() },
                      { "task", ToText(std::int64_t{ aEvent.task }) },
                      { "run", ToText(std::int64_t{ aEvent.run }) },
                      { "upstream", aEvent.upstream.Value() },
                      { "outcome", outcome },
                      { "elapsed_ms", ToText(aEvent.elapsed) },
                      { "since_placed_ms", ToText(aEvent.sincePlaced) } });
}

void
JobObserver::OnReleased(const job::TaskReleased& aEvent)
{
  metrics_.Counter("vanillaworks_tasks_released_total").Increment();
  Log::Write(Event::TaskReleased,
             { { "job", aEvent.job.Value() },
               { "task", ToText(std::int64_t{ aEvent.task }) },
               { "run", ToText(std::int64_t{ aEvent.run }) },
               { "upstream", aEvent.upstream.Value() },
               { "since_loss_ms", ToText(aEvent.sinceLoss) } });
}

void
JobObserver::OnCallerGone(const SubmissionId& aJob, Milliseconds aWaited)
{
  metrics_.Counter("vanillaworks_callers_gone_total").Increment();
  Log::Write(Event::CallerGone,
             { { "job", aJob.Value() }, { "waited_ms", ToText(aWaited) } });
}

void
JobObserver::OnRejectedUnparsed(std::string_view aField,
                                const std::string& aIdentifier,
                                std::string_view aReason)
{
  CountRefusal(aReason);
  Log::Write(Event::JobRejected,
             { { aField, aIdentifier }, { "reason", std::string(aReason) } });
}

void
JobObserver::OnNoRoute(const std::string& aPath,
                       const std::string& aHost,
                       std::uint64_t aVersion)
{
  constexpr const char* kReason = "no_such_queue";
  CountRefusal(kReason);
  Log::Write(Event::JobRejected,
             { { "path", aPath },
               { "host", aHost },
               { "reason", kReason },
               { "version", std::to_string(aVersion) } });
}

void
JobObserver::OnClientClosed(service::ClientCloseReason aReason)
{
  service::RecordClosedClient(metrics_, aReason);
}

void
JobObserver::OnStoreCall(std::string_view aOutcome)
{
  metrics_
    .Counter("vanillaworks_store_calls_total", "outcome", std::string(aOutcome))
    .Increment();
}

std::string
JobObserver::FormatMetrics(const EntryGauges& aGauges)
{
  metrics_.SetGauge("vanillaworks_links", aGauges.links);
  metrics_.SetGauge("vanillaworks_in_flight", aGauges.inFlight);
  metrics_.SetGauge("vanillaworks_client_connections", aGauges.clients);
  metrics_.SetGauge("vanillaworks_configuration_version", aGauges.version);
  metrics_.SetGauge("vanillaworks_configuration_age_ms",
                    ToCount(aGauges.configurationAge));
  metrics_.SetGauge("vanillaworks_upstream_age_ms",
                    ToCount(aGauges.upstreamAge));
  metrics_.SetGauge("vanillaworks_dropped_log_lines", Log::Dropped());
  return metrics_.Text();
}

}
