#include "LibJob/RunKeeper.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** A stop's first timeout; it doubles with each try. */
constexpr Milliseconds kStopTimeout{ 60 };
constexpr std::uint32_t kMaxTries = 3;
constexpr std::uint32_t kMaxDoublings = 3;
}

void
RunKeeper::OnStartAnswered(const RunKey& aKey,
                           std::uint64_t aToken,
                           StartResult aResult,
                           MonotonicTime aNow)
{
  using protocol::RunOutcome;
  auto found = runs_.find(aKey);
  if (found == runs_.end() || !life_) {
    return;
  }
  if (aResult != StartResult::Unknown && aResult != StartResult::NotReached) {
    life_->answeredAt = aNow;
  }
  auto& run = found->second;
  if (aResult == StartResult::Started && run.tries == 1) {
    answerTimes_.Add(
      std::chrono::duration_cast<Milliseconds>(aNow - run.calledAt));
  }
  bool isAwaited =
    run.phase == RunPhase::Starting || run.phase == RunPhase::Uncertain;
  if (!isAwaited) {
    return;
  }
  if (aResult == StartResult::Started) {
    run.phase = RunPhase::Running;
    run.startedAt = aNow;
    run.progressAt = aNow;
  } else if (aResult == StartResult::Unknown) {
    OnStartLost(run, aNow);
  } else {
    OnStartRefused(run, aToken, aResult, aNow);
  }
  StartWhatFits(aNow);
  HoldIfNeeded(aNow);
  FlushReports();
}

void
RunKeeper::CallStart(Run& aRun, MonotonicTime aNow)
{
  auto doublings = std::min(aRun.tries, kMaxDoublings);
  auto timeout = answerTimes_.Timeout() * (1 << doublings);
  ++aRun.tries;
  port_.CallStart({ Target(), aRun.key, aRun.spec, LeaseUntil(aNow), timeout });
}

void
RunKeeper::OnStartLost(Run& aRun, MonotonicTime aNow)
{
  OnNoAnswer(aNow);
  bool mayTryAgain = aRun.phase == RunPhase::Starting && !aRun.stopping &&
                     aRun.tries < kMaxTries && MayStart() &&
                     IsVouched(aRun.entry, aNow);
  if (mayTryAgain) {
    // A run that is there already counts as started: it can't start twice.
    CallStart(aRun, aNow);
    return;
  }
  aRun.phase = RunPhase::Uncertain;
  Stop(aRun, protocol::RunOutcome::Stopped, aNow);
}

void
RunKeeper::OnStartRefused(Run& aRun,
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
      if (aToken == life_->token) {
        RaiseTokenFar();
      }
      break;
    case StartResult::Unhealthy:
      condition_.OnFailed(aRun.key.job, aNow);
      outcome = RunOutcome::RefusedByWorker;
      break;
    case StartResult::Rejected:
      outcome = RunOutcome::RefusedByWorker;
      break;
    case StartResult::NotReached:
      LoseTouch(aNow);
      break;
    default:
      break;
  }
  if (aRun.tries > 1) {
    // This try did nothing, but an earlier one may have started the run, or
    // may start it yet.
    aRun.phase = RunPhase::Uncertain;
    Stop(aRun, RunOutcome::Stopped, aNow);
    return;
  }
  End(RunKey(aRun.key), outcome, aNow);
}

void
RunKeeper::OnStopAnswered(const RunKey& aKey,
                          std::uint64_t aToken,
                          StopResult aResult,
                          MonotonicTime aNow)
{
  auto found = runs_.find(aKey);
  if (found == runs_.end() || !life_) {
    if (aResult != StopResult::Accepted) {
      // Forgotten here, it is asked again at the next look that shows it.
      foreign_.erase(aKey);
    }
    return;
  }
  auto& run = found->second;
  run.stopCalled = false;
  switch (aResult) {
    case StopResult::Accepted:
      run.stopAcceptedAt = aNow;
      break;
    case StopResult::Fenced:
      if (aToken == life_->token) {
        RaiseTokenFar();
      }
      break;
    case StopResult::OtherLife:
    case StopResult::Unknown:
      // OnTick() asks again.
      break;
  }
  HoldIfNeeded(aNow);
}

void
RunKeeper::Stop(Run& aRun, protocol::RunOutcome aAs, MonotonicTime aNow)
{
  if (aRun.phase == RunPhase::Queued) {
    End(RunKey(aRun.key), protocol::RunOutcome::Cancelled, aNow);
    return;
  }
  if (!aRun.stopping) {
    aRun.stopping = true;
    aRun.stopAs = aAs;
  }
  CallStop(aRun);
}

void
RunKeeper::CallStop(Run& aRun)
{
  // A stop that overtakes its start makes that start impossible.
  if (aRun.stopCalled || aRun.stopAcceptedAt != MonotonicTime{}) {
    return;
  }
  aRun.stopCalled = true;
  auto doublings = std::min(aRun.stopTries++, kMaxDoublings);
  port_.CallStop({ Target(), aRun.key, kStopTimeout * (1 << doublings) });
}

void
RunKeeper::CallForeignStop(const RunKey& aKey)
{
  port_.CallStop({ Target(), aKey, kStopTimeout * 4 });
}

}
