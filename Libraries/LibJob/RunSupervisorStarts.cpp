#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** Timeout of the first stop call; it doubles with each retry. */
constexpr Milliseconds kStopTimeout{ 60 };
constexpr std::uint32_t kMaxStartAttempts = 3;
constexpr std::uint32_t kMaxDoublings = 3;
}

void
RunSupervisor::OnStartAnswered(const RunKey& aKey,
                               std::uint64_t aToken,
                               StartResult aResult,
                               MonotonicTime aNow)
{
  using protocol::RunOutcome;
  auto found = runs_.find(aKey);
  if (found == runs_.end() || !runner_) {
    return;
  }
  if (aResult != StartResult::Unknown && aResult != StartResult::NotReached) {
    runner_->lastAnswerAt = aNow;
  }
  auto& run = found->second;
  if (aResult == StartResult::Started && run.startAttempts == 1) {
    startResponseTimes_.AddSample(
      std::chrono::duration_cast<Milliseconds>(aNow - run.calledAt));
  }
  // A run of the same number for another entry may have been called before.
  bool isAwaited =
    aToken == run.startToken &&
    (run.phase == RunPhase::Starting || run.phase == RunPhase::Uncertain);
  if (!isAwaited) {
    return;
  }
  if (aResult == StartResult::Started) {
    run.phase = RunPhase::Running;
    run.startedAt = aNow;
    run.progressAt = aNow;
  } else if (aResult == StartResult::Unknown) {
    OnStartUnanswered(run, aNow);
  } else {
    OnStartRefused(run, aToken, aResult, aNow);
  }
  StartQueuedRuns(aNow);
  CallHoldIfNeeded(aNow);
  FlushReports();
}

void
RunSupervisor::CallStart(Run& aRun, MonotonicTime aNow)
{
  auto doublings = std::min(aRun.startAttempts, kMaxDoublings);
  auto timeout = startResponseTimes_.Timeout() * (1 << doublings);
  ++aRun.startAttempts;
  aRun.startToken = runner_->token;
  port_.CallStart(
    { Target(), aRun.key, aRun.spec, ExtendLease(aNow), timeout });
}

void
RunSupervisor::OnStartUnanswered(Run& aRun, MonotonicTime aNow)
{
  OnNoAnswer(aNow);
  bool mayRetry = aRun.phase == RunPhase::Starting && !aRun.IsStopping() &&
                  aRun.startAttempts < kMaxStartAttempts && MayStart() &&
                  CanLease(aNow) && IsRoomKnown(aNow) &&
                  IsRevalidated(aRun.entry, aNow);
  if (mayRetry) {
    // The retry can't start the run twice: the runner answers that an active
    // run has started.
    CallStart(aRun, aNow);
    return;
  }
  aRun.phase = RunPhase::Uncertain;
  Stop(aRun, StopReason::StartUnconfirmed, aNow);
}

void
RunSupervisor::OnStartRefused(Run& aRun,
                              std::uint64_t aToken,
                              StartResult aResult,
                              MonotonicTime aNow)
{
  using protocol::RunOutcome;
  auto outcome = RunOutcome::NoRoom;
  switch (aResult) {
    case StartResult::OldRun:
      outcome = RunOutcome::OldRun;
      break;
    case StartResult::Fenced:
      if (aToken == runner_->token) {
        RaiseTokenAfterFencing();
      }
      break;
    case StartResult::Unhealthy:
      health_.OnFailed(aRun.key.job, aNow);
      outcome = RunOutcome::RefusedByWorker;
      break;
    case StartResult::Rejected:
      outcome = RunOutcome::RefusedByWorker;
      break;
    case StartResult::NotReached:
      MarkUnreachable(aNow);
      break;
    default:
      break;
  }
  if (aRun.startAttempts > 1) {
    // This call started nothing, but an earlier one may have started the run or
    // may still start it.
    aRun.phase = RunPhase::Uncertain;
    Stop(aRun, StopReason::StartUnconfirmed, aNow);
    return;
  }
  End(RunKey(aRun.key), outcome, EndEvidence::StartRefused, aNow);
}

void
RunSupervisor::OnStopAnswered(const RunKey& aKey,
                              std::uint64_t aToken,
                              StopResult aResult,
                              MonotonicTime aNow)
{
  auto found = runs_.find(aKey);
  if (found == runs_.end() || !runner_) {
    if (aResult != StopResult::Accepted) {
      // After this, the next hold answer that lists the run causes another stop
      // call.
      foreignRuns_.erase(aKey);
    }
    return;
  }
  auto& run = found->second;
  run.isStopPending = false;
  switch (aResult) {
    case StopResult::Accepted:
      run.stopAcceptedAt = aNow;
      break;
    case StopResult::Fenced:
      if (aToken == runner_->token) {
        RaiseTokenAfterFencing();
      }
      break;
    case StopResult::OtherIncarnation:
    case StopResult::Unknown:
      // OnTick() repeats the call.
      break;
  }
  CallHoldIfNeeded(aNow);
}

void
RunSupervisor::Stop(Run& aRun, StopReason aReason, MonotonicTime aNow)
{
  if (aRun.phase == RunPhase::Queued) {
    EndUnstarted(RunKey(aRun.key), protocol::RunOutcome::Cancelled, aNow);
    return;
  }
  if (IsAbandonment(aReason)) {
    SetEndOfAbandonedRun(aRun, aNow);
  }
  if (!aRun.IsStopping()) {
    aRun.stopReason = aReason;
    aRun.stopDecidedAt = aNow;
  }
  CallStop(aRun);
}

void
RunSupervisor::CallStop(Run& aRun)
{
  // A stop that arrives before its start call prevents the start.
  if (aRun.isStopPending || aRun.stopAcceptedAt != MonotonicTime{}) {
    return;
  }
  aRun.isStopPending = true;
  auto doublings = std::min(aRun.stopAttempts++, kMaxDoublings);
  port_.CallStop({ Target(), aRun.key, kStopTimeout * (1 << doublings) });
}

void
RunSupervisor::CallForeignStop(const RunKey& aKey)
{
  port_.CallStop({ Target(), aKey, kStopTimeout * 4 });
}

}
