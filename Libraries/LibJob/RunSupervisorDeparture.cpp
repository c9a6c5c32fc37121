#include "LibJob/RunSupervisor.h"

namespace vanillaworks::job {

namespace {
/**
 * Shorter than the second for which a runner awaits an answer, by the time that
 * the answer takes.
 */
constexpr Milliseconds kMaxReleaseDelay{ 500 };
}

void
RunSupervisor::OnRunnerLeaving(const std::string& aRunner, MonotonicTime aNow)
{
  if (!runner_ || runner_->report.id != aRunner) {
    port_.OnRunnerReleased({ aRunner, 0, 0, {} });
    return;
  }
  runner_->isLeaving = true;
  ++statusRevision_;
  if (!departure_) {
    departure_ = Departure{ aRunner, aNow, CountOccupyingRuns() };
  }
  ResolveSuspectedLosses(protocol::LossState::Retracted);
  ReturnQueue(protocol::RunOutcome::Leaving, aNow);
  // The announcement is no proof that a run has ended: without an answer the
  // runner goes on for seconds. The answer ends the runs that are left, so it
  // waits until the runner has listed them as ended.
  for (auto& item : runs_) {
    Stop(item.second, StopReason::RunnerLeaving, aNow);
  }
  ReleaseRunnerIfDue(aNow);
  CallHoldIfNeeded(aNow);
  FlushReports();
}

void
RunSupervisor::ReleaseRunnerIfDue(MonotonicTime aNow)
{
  if (!departure_) {
    return;
  }
  bool areEndsAcknowledged = runner_->lastSeen == runner_->acknowledgedEnd;
  bool isIdle =
    CountOccupyingRuns() == 0 && (areEndsAcknowledged || !runner_->isReachable);
  if (isIdle || aNow - departure_->announcedAt >= kMaxReleaseDelay) {
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
