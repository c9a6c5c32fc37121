#include "LibJob/RunKeeper.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** A runner lists at most so many ends at a time. */
constexpr std::size_t kEndsAtATime = 500;
constexpr Milliseconds kShortWait{ 10 };
/** Between looks at a runner that does not answer. */
constexpr Milliseconds kAskAgain{ 50 };
constexpr Milliseconds kAfterFailure{ 10 };
/** A runner without any answer for so long is not reachable. */
constexpr Milliseconds kSilence{ 250 };
/** After a look should have been answered, another one is asked for. */
constexpr Milliseconds kOverdue{ 25 };
constexpr std::size_t kMaxHolds = 4;
/** Without an answer for so long, looks no longer renew the lease. */
constexpr Milliseconds kRenewWithin{ 200 };
/** For calls on their way when a lease is judged to be over. */
constexpr Milliseconds kLeaseMargin{ 50 };
}

std::int64_t
RunKeeper::LeaseUntil(MonotonicTime aNow)
{
  auto since = std::chrono::duration_cast<Milliseconds>(aNow - life_->clockAt);
  auto slack = std::chrono::duration_cast<Milliseconds>(limits_.lease *
                                                        limits_.clockSlack);
  auto over = aNow + limits_.lease + slack + kLeaseMargin;
  life_->leaseOver = std::max(life_->leaseOver, over);
  return life_->clockMs + since.count() + limits_.lease.count();
}

void
RunKeeper::HoldIfNeeded(MonotonicTime aNow)
{
  if (!life_ || holds_.size() >= kMaxHolds) {
    return;
  }
  bool isAsked = !holds_.empty() && aNow < holds_.rbegin()->second.dueAt;
  if (isAsked) {
    return;
  }
  bool isNeeded = Taken() > 0 || !life_->settled || !life_->isReachable ||
                  life_->lastSeen != life_->acknowledged;
  if (isNeeded && aNow >= life_->askAgainAt) {
    CallHold(aNow);
  }
}

void
RunKeeper::CallHold(MonotonicTime aNow)
{
  bool isAwaitingProof =
    !life_->settled || !life_->isReachable ||
    std::any_of(runs_.begin(), runs_.end(), [](const auto& aItem) {
      return aItem.second.phase == RunPhase::Uncertain || aItem.second.stopping;
    });
  bool hasRuns = Taken() > 0;
  HoldCall call;
  call.target = Target();
  call.lastSeen = life_->lastSeen;
  call.wait = isAwaitingProof ? kShortWait
              : hasRuns       ? limits_.holdWait
                              : Milliseconds{ 0 };
  // What a runner that went silent was given must lapse, so that it can be
  // given to others.
  bool isHeard = aNow - life_->answeredAt <= kRenewWithin;
  call.leaseUntilMs = hasRuns && isHeard ? LeaseUntil(aNow) : 0;
  auto number = nextHold_++;
  holds_[number] = {
    number, aNow, life_->token, life_->lastSeen, aNow + call.wait + kOverdue,
    false
  };
  port_.CallHold(number, call);
}

void
RunKeeper::OnHoldAnswered(std::uint64_t aNumber,
                          const HoldAnswer& aAnswer,
                          MonotonicTime aNow)
{
  if (probe_ && probe_->number == aNumber) {
    OnProbeAnswered(aAnswer, aNow);
    return;
  }
  auto found = holds_.find(aNumber);
  if (found == holds_.end()) {
    return;
  }
  auto hold = found->second;
  holds_.erase(found);
  switch (aAnswer.result) {
    case HoldResult::Answered:
      if (IsOfLife(aAnswer, life_->report) && aNumber > holdTaken_) {
        holdTaken_ = aNumber;
        TakeHold(aAnswer, hold, aNow);
      }
      break;
    case HoldResult::Fenced:
      if (hold.token == life_->token) {
        RaiseTokenFar();
      }
      break;
    case HoldResult::NotReached:
      LoseTouch(aNow);
      break;
    case HoldResult::OtherLife:
    case HoldResult::Unknown:
      // OnTick() asks again, so that a look that fails at once is not repeated
      // at once; a new life announces itself.
      life_->askAgainAt = aNow + kAfterFailure;
      OnNoAnswer(aNow);
      break;
  }
  StartWhatFits(aNow);
  HoldIfNeeded(aNow);
  FlushReports();
}

void
RunKeeper::OnNoAnswer(MonotonicTime aNow)
{
  if (aNow - life_->answeredAt > kSilence) {
    LoseTouch(aNow);
  }
}

void
RunKeeper::LoseTouch(MonotonicTime aNow)
{
  if (life_->isReachable) {
    life_->isReachable = false;
    ++statusRevision_;
  }
  life_->askAgainAt = aNow + kAskAgain;
}

void
RunKeeper::TakeHold(const HoldAnswer& aAnswer,
                    const PendingHold& aHold,
                    MonotonicTime aNow)
{
  life_->answeredAt = aNow;
  if (!life_->isReachable) {
    life_->isReachable = true;
    ++statusRevision_;
  }
  life_->clockMs = aAnswer.clockMs;
  life_->clockAt = aNow;
  life_->acknowledged = std::max(life_->acknowledged, aHold.lastSeen);
  for (const auto& row : aAnswer.finished) {
    if (row.number <= life_->lastSeen) {
      continue;
    }
    life_->lastSeen = row.number;
    foreign_.erase(row.key);
    auto found = runs_.find(row.key);
    if (found == runs_.end() || !found->second.TakesRoom()) {
      continue;
    }
    auto stopAs = found->second.stopping ? found->second.stopAs
                                         : protocol::RunOutcome::Stopped;
    switch (row.kind) {
      case EndKind::Done:
        End(row.key, protocol::RunOutcome::Done, aNow);
        break;
      case EndKind::Failed:
        End(row.key, protocol::RunOutcome::Failed, aNow);
        break;
      case EndKind::Stopped:
      case EndKind::Lapsed:
        End(row.key, stopAs, aNow);
        break;
    }
  }
  if (aAnswer.finished.size() < kEndsAtATime) {
    TakeRunning(aAnswer, aHold, aNow);
  }
}

void
RunKeeper::TakeRunning(const HoldAnswer& aAnswer,
                       const PendingHold& aHold,
                       MonotonicTime aNow)
{
  std::set<RunKey> running;
  for (const auto& row : aAnswer.running) {
    running.insert(row.key);
    auto found = runs_.find(row.key);
    if (found == runs_.end() || !found->second.TakesRoom()) {
      if (foreign_.insert(row.key).second) {
        CallForeignStop(row.key);
      }
      continue;
    }
    TakeProgress(found->second, row.percent, aNow);
  }
  std::erase_if(foreign_, [&running](const RunKey& aKey) {
    return !running.contains(aKey);
  });
  bool wasSettled = life_->settled;
  life_->settled = foreign_.empty() && aHold.token == life_->token;
  if (life_->settled != wasSettled) {
    ++statusRevision_;
  }
  // What had started, or can't start any more, before this look was asked
  // for, and is not listed, is gone.
  std::vector<std::pair<RunKey, protocol::RunOutcome>> gone;
  for (const auto& [key, run] : runs_) {
    if (running.contains(key) || !run.TakesRoom()) {
      continue;
    }
    bool hadStarted =
      run.phase == RunPhase::Running && run.startedAt < aHold.sentAt;
    bool cannotStart = run.stopAcceptedAt != MonotonicTime{} &&
                       run.stopAcceptedAt < aHold.sentAt;
    if (hadStarted) {
      gone.emplace_back(key, protocol::RunOutcome::Stopped);
    } else if (cannotStart) {
      gone.emplace_back(key, protocol::RunOutcome::RefusedByWorker);
    }
  }
  for (const auto& [key, outcome] : gone) {
    End(key, outcome, aNow);
  }
}

void
RunKeeper::TakeProgress(Run& aRun, int aPercent, MonotonicTime aNow)
{
  if (aRun.phase != RunPhase::Running) {
    aRun.phase = RunPhase::Running;
    aRun.startedAt = aNow;
    aRun.progressAt = aRun.calledAt;
  }
  if (aPercent != aRun.percent) {
    aRun.percent = aPercent;
    aRun.progressAt = aNow;
    if (aPercent >= kTellingPercent) {
      auto elapsed =
        std::chrono::duration_cast<Milliseconds>(aNow - aRun.calledAt);
      condition_.OnProgress(
        aRun.estimate, elapsed * kWholePercent / aPercent, aNow);
    }
    return;
  }
  auto stillFor = aNow - aRun.progressAt;
  auto bound = std::max(limits_.stuckAfter, aRun.estimate / 4);
  bool isStuck = stillFor > bound && aNow - aRun.calledAt > bound;
  if (isStuck && !aRun.stopping) {
    condition_.OnStuck(aRun.key.job, aNow);
    ++statusRevision_;
    Stop(aRun, protocol::RunOutcome::Stuck, aNow);
  }
}

}
