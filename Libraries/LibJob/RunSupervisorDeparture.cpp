#include "LibJob/RunSupervisor.h"

namespace vanillaworks::job {

namespace {
/**
 * Shorter than the second for which a runner awaits an answer, by the time that
 * the answer takes.
 */
constexpr Milliseconds kMaxReleaseDelay{ 500 };
}

AnnouncementAnswer
RunSupervisor::OnRunnerLeaving(const std::string& aRunner,
                               std::optional<std::int64_t> aStartedMs,
                               MonotonicTime aNow)
{
  bool isPresent =
    runner_ && runner_->report.id == aRunner &&
    aStartedMs.value_or(runner_->report.startedMs) == runner_->report.startedMs;
  if (!isPresent) {
    return AnnouncementAnswer::Now;
  }
  runner_->isLeaving = true;
  ++statusRevision_;
  ResolveSuspectedLosses(protocol::LossState::Retracted);
  ReturnQueue(protocol::RunOutcome::Leaving, aNow);
  FlushReports();
  if (AreEndsKnown()) {
    return AnnouncementAnswer::Now;
  }
  // The announcement is no proof that a run has ended: without an answer the
  // runner goes on for seconds. The answer ends the runs that are left, so it
  // waits until the runner has listed them as ended.
  if (!departure_) {
    departure_ = RunnerDeparture{ aRunner, aNow, CountOccupyingRuns() };
  }
  for (auto& item : runs_) {
    Stop(item.second, StopReason::RunnerLeaving, aNow);
  }
  CallHoldIfNeeded(aNow);
  return AnnouncementAnswer::WhenReleased;
}

bool
RunSupervisor::AreEndsKnown() const
{
  bool areAcknowledged = runner_->lastSeen == runner_->acknowledgedEnd;
  return CountOccupyingRuns() == 0 &&
         (areAcknowledged || !runner_->isReachable);
}

void
RunSupervisor::ReleaseRunnerIfDue(MonotonicTime aNow)
{
  if (!departure_) {
    return;
  }
  bool isOverdue = aNow - departure_->announcedAt >= kMaxReleaseDelay;
  if (AreEndsKnown() || isOverdue) {
    ReleaseRunner(aNow);
  }
}

void
RunSupervisor::ReleaseRunner(MonotonicTime aNow)
{
  auto departure = *departure_;
  departure_.reset();
  auto waited =
    std::chrono::duration_cast<Milliseconds>(aNow - departure.announcedAt);
  port_.OnRunnerReleased(
    { departure.runner, departure.runs, CountOccupyingRuns(), waited });
}

}
