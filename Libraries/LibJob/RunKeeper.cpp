#include "LibJob/RunKeeper.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** A runner lists at most so many ends at a time. */
constexpr std::size_t kEndsAtATime = 500;
/** Beyond any clock's step back between two processes of an agent. */
constexpr std::uint64_t kFencedRaise = 3'600'000;
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
/** A stop's first timeout; it doubles with each try. */
constexpr Milliseconds kStopTimeout{ 60 };
constexpr std::uint32_t kMaxTries = 3;
constexpr std::uint32_t kMaxDoublings = 3;
bool
IsOfLife(const HoldAnswer& aAnswer, const RunnerReport& aReport)
{
  // Not every runner says when it was born.
  return aAnswer.born == 0 || aAnswer.born == aReport.born;
}

std::set<RunKey>
KeysOf(const HoldAnswer& aAnswer)
{
  std::set<RunKey> keys;
  for (const auto& row : aAnswer.running) {
    keys.insert(row.key);
  }
  for (const auto& row : aAnswer.finished) {
    keys.insert(row.key);
  }
  return keys;
}

/** For calls on their way when a lease is judged to be over. */
constexpr Milliseconds kLeaseMargin{ 50 };
}

RunKeeper::RunKeeper(UpstreamId aUpstream,
                     Incarnation aIncarnation,
                     RunKeeperLimits aLimits,
                     const ControlView& aControl,
                     RunKeeperPort& aPort)
  : upstream_(std::move(aUpstream))
  , incarnation_(aIncarnation)
  , limits_(aLimits)
  , control_(aControl)
  , port_(aPort)
{
}

void
RunKeeper::OnRunnerReport(const RunnerReport& aReport, MonotonicTime aNow)
{
  bool isKnownLife = life_ && life_->report.id == aReport.id &&
                     life_->report.born == aReport.born;
  if (!isKnownLife) {
    // It may be a former life's report that comes late: the runner tells.
    Probe(aReport, aNow);
    return;
  }
  if (aReport.sequence <= life_->report.sequence) {
    return;
  }
  life_->report = aReport;
  ++statusRevision_;
  StartWhatFits(aNow);
  FlushReports();
}

void
RunKeeper::Probe(const RunnerReport& aReport, MonotonicTime aNow)
{
  if (probe_) {
    nextCandidate_ = aReport;
    return;
  }
  candidate_ = aReport;
  // The runner's birth and clock only grow, so that a later process of ours
  // takes a higher token without asking anyone.
  auto token = static_cast<std::uint64_t>(aReport.born + aReport.clockMs);
  if (life_) {
    token = std::max(token, life_->token + 1);
  }
  probe_ = PendingHold{ nextHold_++, aNow, token, 0, aNow, true };
  port_.CallHold(probe_->number,
                 { { aReport.id, aReport.address, token }, 0, 0, {} });
}

void
RunKeeper::BeginLife(const RunnerReport& aReport,
                     const HoldAnswer& aAnswer,
                     std::uint64_t aToken,
                     MonotonicTime aNow)
{
  // A start that was meant for the former life may have reached this one; the
  // higher token keeps later ones out.
  auto arrived = KeysOf(aAnswer);
  LoseRunsBut(arrived, aNow);
  for (const auto& key : arrived) {
    auto found = runs_.find(key);
    if (found != runs_.end()) {
      found->second.stopAcceptedAt = {};
    }
  }
  condition_.Reset();
  foreign_.clear();
  life_ = Life();
  life_->report = aReport;
  life_->token = aToken;
  life_->leaseOver = aNow + limits_.lease * 2;
  holds_.clear();
  port_.OnRunnerLife(aReport, aToken);
  TakeHold(aAnswer, { 0, aNow, aToken, 0, aNow, true }, aNow);
}

void
RunKeeper::LoseRunsBut(const std::set<RunKey>& aArrived, MonotonicTime aNow)
{
  std::vector<RunKey> lost;
  for (const auto& [key, run] : runs_) {
    if (run.TakesRoom() && !aArrived.contains(key)) {
      lost.push_back(key);
    }
  }
  for (const auto& key : lost) {
    End(key, protocol::RunOutcome::Stopped, aNow);
  }
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
RunKeeper::RaiseToken(std::uint64_t aBy)
{
  life_->token += aBy;
  life_->settled = false;
}

void
RunKeeper::OnRunnerLeft(const std::string& aRunner, MonotonicTime aNow)
{
  if (!life_ || life_->report.id != aRunner) {
    return;
  }
  LoseRunsBut({}, aNow);
  life_.reset();
  holds_.clear();
  foreign_.clear();
  GiveBackQueue(protocol::RunOutcome::Leaving, aNow);
  ++statusRevision_;
  FlushReports();
}

RunnerTarget
RunKeeper::Target() const
{
  return { life_->report.id, life_->report.address, life_->token };
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
RunKeeper::OnProbeAnswered(const HoldAnswer& aAnswer, MonotonicTime aNow)
{
  auto probe = *probe_;
  probe_.reset();
  auto candidate = *candidate_;
  if (aAnswer.result == HoldResult::Fenced) {
    // A kept report's clock is old; the refusal tells the present one. If
    // that is not enough, a former process went beyond its clock.
    bool isFirst = probeFences_++ == 0 && aAnswer.clockMs > candidate.clockMs;
    candidate.clockMs =
      isFirst ? aAnswer.clockMs
              : candidate.clockMs + static_cast<std::int64_t>(kFencedRaise);
    Probe(candidate, aNow);
    return;
  }
  probeFences_ = 0;
  bool isThere =
    aAnswer.result == HoldResult::Answered && IsOfLife(aAnswer, candidate);
  if (isThere) {
    BeginLife(candidate, aAnswer, probe.token, aNow);
    StartWhatFits(aNow);
    HoldIfNeeded(aNow);
    FlushReports();
  }
  auto next = std::move(nextCandidate_);
  nextCandidate_.reset();
  if (next) {
    OnRunnerReport(*next, aNow);
  }
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
        RaiseToken(kFencedRaise);
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
        port_.CallStop({ Target(), row.key, kStopTimeout * 4 });
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
      condition_.OnProgress(aRun.estimate, elapsed * kWholePercent / aPercent, aNow);
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
        RaiseToken(kFencedRaise);
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
        RaiseToken(kFencedRaise);
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
RunKeeper::End(const RunKey& aKey,
               protocol::RunOutcome aOutcome,
               MonotonicTime aNow)
{
  auto found = runs_.find(aKey);
  if (found == runs_.end()) {
    return;
  }
  auto run = std::move(found->second);
  runs_.erase(found);
  queue_.erase({ run.priority, run.arrival, run.key });
  protocol::RunEnd end{ run.key.task, aOutcome, 0 };
  if (run.TakesRoom()) {
    end.elapsedMs =
      std::chrono::duration_cast<Milliseconds>(aNow - run.calledAt).count();
  }
  if (aOutcome == protocol::RunOutcome::Done) {
    condition_.OnDone(run.estimate, Milliseconds(end.elapsedMs), aNow);
  }
  if (aOutcome == protocol::RunOutcome::Failed) {
    condition_.OnFailed(run.key.job, aNow);
  }
  recentEnds_[{ run.entry, run.key }] = { end, aNow + limits_.endRetention };
  reports_[{ run.entry, run.key.job }].push_back(end);
  port_.OnRunEnded(run.entry, run.key.job, end);
  ++statusRevision_;
}

void
RunKeeper::FlushReports()
{
  auto reports = std::move(reports_);
  reports_.clear();
  for (auto& [to, ends] : reports) {
    port_.SendToEntry(to.first,
                      protocol::RunReport{ to.second, std::move(ends) });
  }
}

}
