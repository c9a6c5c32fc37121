#include "LibJob/RunKeeper.h"

namespace vanillaworks::job {

namespace {
/** Beyond any clock's step back between two processes of an agent. */
constexpr std::uint64_t kFencedRaise = 3'600'000;

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

bool
RunKeeper::IsOfLife(const HoldAnswer& aAnswer, const RunnerReport& aReport)
{
  return aAnswer.born == 0 || aAnswer.born == aReport.born;
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
RunKeeper::RaiseToken(std::uint64_t aBy)
{
  life_->token += aBy;
  life_->settled = false;
}

void
RunKeeper::RaiseTokenFar()
{
  RaiseToken(kFencedRaise);
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
