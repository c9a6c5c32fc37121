#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** Maximum number of ends that a runner lists in one answer. */
constexpr std::size_t kMaxReportedEnds = 500;
constexpr Milliseconds kShortHoldWait{ 10 };
/** Delay between hold calls to an unreachable runner. */
constexpr Milliseconds kUnreachableRetryDelay{ 50 };
constexpr Milliseconds kFailedHoldRetryDelay{ 10 };
/** A runner without any answer for this time counts as unreachable. */
constexpr Milliseconds kUnreachableAfter{ 250 };
/** Another hold call is made when an answer is overdue by this time. */
constexpr Milliseconds kAnswerOverdueAfter{ 25 };
constexpr std::size_t kMaxPendingHolds = 4;
/** Hold calls renew the lease only if the last answer is at most this old. */
constexpr Milliseconds kLeaseRenewalWindow{ 200 };
}

void
RunSupervisor::CallHoldIfNeeded(MonotonicTime aNow)
{
  if (!runner_ || pendingHolds_.size() >= kMaxPendingHolds) {
    return;
  }
  bool isAwaitingAnswer =
    !pendingHolds_.empty() && aNow < pendingHolds_.rbegin()->second.overdueAt;
  bool hasLeft = runner_->isLeaving && !departure_ && CountOccupyingRuns() == 0;
  if (isAwaitingAnswer || hasLeft) {
    return;
  }
  bool isNeeded = CountOccupyingRuns() > 0 || !runner_->isReconciled ||
                  !runner_->isReachable ||
                  runner_->lastSeen != runner_->acknowledgedEnd;
  if (isNeeded && aNow >= runner_->nextHoldAt) {
    CallHold(aNow);
  }
}

void
RunSupervisor::CallHold(MonotonicTime aNow)
{
  bool isAwaitingConfirmation =
    !runner_->isReconciled || !runner_->isReachable ||
    std::any_of(runs_.begin(), runs_.end(), [](const auto& aItem) {
      return aItem.second.phase == RunPhase::Uncertain ||
             aItem.second.IsStopping();
    });
  bool hasRuns = CountOccupyingRuns() > 0;
  HoldCall call;
  call.target = Target();
  call.lastSeen = runner_->lastSeen;
  call.wait = isAwaitingConfirmation ? kShortHoldWait
              : hasRuns              ? limits_.holdWait
                                     : Milliseconds{ 0 };
  // The runs of an unresponsive runner must lapse, so that their tasks can be
  // placed on other workers.
  bool isResponding = aNow - runner_->lastAnswerAt <= kLeaseRenewalWindow;
  bool mayGoOn = isResponding && !runner_->isLeaving;
  call.leaseUntilMs = hasRuns && mayGoOn ? ExtendLease(aNow) : 0;
  auto number = nextHoldNumber_++;
  pendingHolds_[number] = { number,
                            aNow,
                            runner_->token,
                            runner_->lastSeen,
                            aNow + call.wait + kAnswerOverdueAfter };
  port_.CallHold(number, call);
}

void
RunSupervisor::OnHoldAnswered(std::uint64_t aNumber,
                              const HoldAnswer& aAnswer,
                              MonotonicTime aNow)
{
  if (verification_ && verification_->calls.contains(aNumber)) {
    OnVerificationAnswered(aNumber, aAnswer, aNow);
    return;
  }
  auto found = pendingHolds_.find(aNumber);
  if (found == pendingHolds_.end()) {
    return;
  }
  auto hold = found->second;
  pendingHolds_.erase(found);
  switch (aAnswer.result) {
    case HoldResult::Answered:
      if (IsSameIncarnation(aAnswer, runner_->report) &&
          aNumber > lastProcessedHold_) {
        lastProcessedHold_ = aNumber;
        ProcessHoldAnswer(aAnswer, hold, aNow);
      }
      if (!IsSameIncarnation(aAnswer, runner_->report)) {
        OnNextIncarnationAnswered(aAnswer, aNow);
      }
      break;
    case HoldResult::Fenced:
      if (hold.token == runner_->token) {
        RaiseTokenAfterFencing();
      }
      break;
    case HoldResult::NotReached:
      MarkUnreachable(aNow);
      break;
    case HoldResult::OtherIncarnation:
      ResolveSuspectedLosses(protocol::LossState::Confirmed);
      [[fallthrough]];
    case HoldResult::Unknown:
      // OnTick() repeats the call later, so that calls that fail at once don't
      // form a busy loop. A new incarnation announces itself with a report.
      runner_->nextHoldAt = aNow + kFailedHoldRetryDelay;
      OnNoAnswer(aNow);
      break;
  }
  StartQueuedRuns(aNow);
  CallHoldIfNeeded(aNow);
  FlushReports();
  ReleaseRunnerIfDue(aNow);
}

void
RunSupervisor::OnNextIncarnationAnswered(const HoldAnswer& aAnswer,
                                         MonotonicTime aNow)
{
  ResolveSuspectedLosses(protocol::LossState::Confirmed);
  MarkUnreachable(aNow);
  bool isNewer = aAnswer.startedMs > runner_->report.startedMs;
  if (verification_ || !isNewer) {
    return;
  }
  // Its own report may take more than a second, and until it is fenced it
  // carries out late calls to its predecessor.
  auto inferred = runner_->report;
  inferred.startedMs = aAnswer.startedMs;
  inferred.clockMs = aAnswer.clockMs;
  inferred.sequence = 0;
  inferred.isInferred = true;
  VerifyReport(inferred, aAnswer.clockMs, aNow);
}

void
RunSupervisor::OnNoAnswer(MonotonicTime aNow)
{
  if (aNow - runner_->lastAnswerAt > kUnreachableAfter) {
    MarkUnreachable(aNow);
  }
}

bool
RunSupervisor::IsRunnerSilent(MonotonicTime aNow) const
{
  // A process that was paused has not seen the runner to be silent.
  return !runner_->isReachable &&
         aNow - runner_->unreachableSince >= kUnreachableAfter;
}

void
RunSupervisor::MarkUnreachable(MonotonicTime aNow)
{
  if (runner_->isReachable) {
    runner_->isReachable = false;
    runner_->unreachableSince = aNow;
    ++statusRevision_;
  }
  runner_->nextHoldAt = aNow + kUnreachableRetryDelay;
}

void
RunSupervisor::ProcessHoldAnswer(const HoldAnswer& aAnswer,
                                 const PendingHold& aHold,
                                 MonotonicTime aNow)
{
  runner_->lastAnswerAt = aNow;
  ResolveSuspectedLosses(protocol::LossState::Retracted);
  if (!runner_->isReachable) {
    runner_->isReachable = true;
    ++statusRevision_;
  }
  runner_->clock.OnRead(aAnswer.clockMs, aNow);
  runner_->acknowledgedEnd = std::max(runner_->acknowledgedEnd, aHold.lastSeen);
  for (const auto& row : aAnswer.finished) {
    if (row.number <= runner_->lastSeen) {
      continue;
    }
    runner_->lastSeen = row.number;
    foreignRuns_.erase(row.key);
    auto found = runs_.find(row.key);
    if (found == runs_.end() || !found->second.OccupiesResources()) {
      if (WasReportedAsNeverStarted(row.key)) {
        port_.OnUnexpectedRun(row.key);
      }
      continue;
    }
    auto stopOutcome = found->second.StopOutcome();
    switch (row.kind) {
      case EndKind::Done:
        End(row.key, protocol::RunOutcome::Done, EndEvidence::ListedDone, aNow);
        break;
      case EndKind::Failed:
        End(row.key,
            protocol::RunOutcome::Failed,
            EndEvidence::ListedFailed,
            aNow);
        break;
      case EndKind::Stopped:
        End(row.key, stopOutcome, EndEvidence::ListedStopped, aNow);
        break;
      case EndKind::Lapsed:
        End(row.key, stopOutcome, EndEvidence::ListedLapsed, aNow);
        break;
    }
  }
  if (aAnswer.isComplete && aAnswer.finished.size() < kMaxReportedEnds) {
    ReconcileRuns(aAnswer, aHold, aNow);
  }
}

bool
RunSupervisor::WasReportedAsNeverStarted(const RunKey& aKey) const
{
  return std::any_of(
    sessions_.begin(), sessions_.end(), [this, &aKey](const auto& aSession) {
      auto ended = recentEnds_.find({ aSession.first, aKey });
      return ended != recentEnds_.end() &&
             protocol::NeverStarted(ended->second.end.outcome);
    });
}

void
RunSupervisor::ReconcileRuns(const HoldAnswer& aAnswer,
                             const PendingHold& aHold,
                             MonotonicTime aNow)
{
  std::set<RunKey> running;
  for (const auto& row : aAnswer.running) {
    running.insert(row.key);
    auto found = runs_.find(row.key);
    if (found == runs_.end() || !found->second.OccupiesResources()) {
      if (foreignRuns_.insert(row.key).second) {
        port_.OnUnexpectedRun(row.key);
        CallForeignStop(row.key);
      }
      continue;
    }
    UpdateProgress(found->second, row.percent, aNow);
  }
  std::erase_if(foreignRuns_, [&running](const RunKey& aKey) {
    return !running.contains(aKey);
  });
  bool wasReconciled = runner_->isReconciled;
  runner_->isReconciled = foreignRuns_.empty() && aHold.token == runner_->token;
  if (runner_->isReconciled != wasReconciled) {
    ++statusRevision_;
  }
  // A run has ended if it is not listed although it had started before this
  // hold call was sent, or if this incarnation could not start it any more by
  // then. The stop does not bind later incarnations.
  std::vector<std::pair<RunKey, protocol::RunOutcome>> ended;
  for (const auto& [key, run] : runs_) {
    if (running.contains(key) || !run.OccupiesResources()) {
      continue;
    }
    bool hadStarted =
      run.phase == RunPhase::Running && run.startedAt < aHold.sentAt;
    bool cannotStart = run.stopAcceptedAt != MonotonicTime{} &&
                       run.stopAcceptedAt < aHold.sentAt;
    if (hadStarted) {
      ended.emplace_back(key, protocol::RunOutcome::Stopped);
    } else if (cannotStart) {
      ended.emplace_back(key, protocol::RunOutcome::Unconfirmed);
    }
  }
  for (const auto& [key, outcome] : ended) {
    End(key, outcome, EndEvidence::NotListed, aNow);
  }
}

void
RunSupervisor::UpdateProgress(Run& aRun, int aPercent, MonotonicTime aNow)
{
  if (aRun.phase != RunPhase::Running) {
    aRun.phase = RunPhase::Running;
    aRun.startedAt = aNow;
    aRun.progressAt = aRun.calledAt;
  }
  if (aPercent != aRun.percent) {
    aRun.percent = aPercent;
    aRun.progressAt = aNow;
    if (aPercent >= kMinReliablePercent) {
      auto elapsed =
        std::chrono::duration_cast<Milliseconds>(aNow - aRun.calledAt);
      health_.OnProgress(
        aRun.estimate, elapsed * kFullPercent / aPercent, aNow);
    }
    return;
  }
  auto withoutProgress = aNow - aRun.progressAt;
  auto stuckTimeout = std::max(limits_.stuckTimeout, aRun.estimate / 4);
  bool isStuck =
    withoutProgress > stuckTimeout && aNow - aRun.calledAt > stuckTimeout;
  if (isStuck && !aRun.IsStopping()) {
    health_.OnStuck(aRun.key.job, aNow);
    ++statusRevision_;
    Stop(aRun, StopReason::Stuck, aNow);
  }
}

}
