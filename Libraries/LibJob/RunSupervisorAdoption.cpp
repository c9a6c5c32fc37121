#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/**
 * In milliseconds, larger than any backward step of the clock between two
 * processes of an agent.
 */
constexpr std::uint64_t kFencedTokenIncrement = 3'600'000;

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

bool
RunSupervisor::MayBeNext(const RunnerReport& aReport, MonotonicTime aNow) const
{
  if (!runner_ || aReport.address == runner_->report.address) {
    return true;
  }
  bool isOutOfUse = runner_->isLeaving || IsRunnerSilent(aNow) ||
                    !control_.HasRouteTo(runner_->report.service);
  return isOutOfUse && CountOccupyingRuns() == 0;
}

void
RunSupervisor::ProbeRunner(MonotonicTime aNow)
{
  if (pendingHolds_.empty()) {
    CallHold(aNow);
  }
}

void
RunSupervisor::VerifyReport(const RunnerReport& aReport,
                            std::int64_t aClockMs,
                            MonotonicTime aNow)
{
  if (verification_) {
    nextReport_ = aReport;
    return;
  }
  candidateReport_ = aReport;
  candidateClockMs_ = aClockMs;
  // The runner's start time and clock only increase, so a later process of this
  // agent derives a higher token without any coordination.
  auto token = static_cast<std::uint64_t>(aReport.startedMs + aClockMs);
  if (runner_) {
    token = std::max(token, runner_->token + 1);
  }
  verification_ = PendingHold{ nextHoldNumber_++, aNow, token, 0, aNow, true };
  port_.CallHold(verification_->number,
                 { { aReport.id, aReport.address, token }, 0, 0, {} });
}

void
RunSupervisor::OnVerificationAnswered(const HoldAnswer& aAnswer,
                                      MonotonicTime aNow)
{
  auto verification = *verification_;
  verification_.reset();
  auto candidate = *candidateReport_;
  if (aAnswer.result == HoldResult::Fenced) {
    // The clock in a saved report is old; the refusal contains the current one.
    // If a token from the current clock is refused as well, an earlier process
    // had raised its token beyond the clock.
    bool isFirst =
      verificationFencedCount_++ == 0 && aAnswer.clockMs > candidateClockMs_;
    auto clockMs = isFirst ? aAnswer.clockMs
                           : candidateClockMs_ +
                               static_cast<std::int64_t>(kFencedTokenIncrement);
    VerifyReport(candidate, clockMs, aNow);
    return;
  }
  verificationFencedCount_ = 0;
  bool isThere = aAnswer.result == HoldResult::Answered &&
                 IsSameIncarnation(aAnswer, candidate) &&
                 MayBeNext(candidate, aNow);
  if (isThere) {
    AdoptIncarnation(candidate, aAnswer, verification.token, aNow);
    StartQueuedRuns(aNow);
    CallHoldIfNeeded(aNow);
    FlushReports();
  }
  auto next = std::move(nextReport_);
  nextReport_.reset();
  if (next) {
    OnRunnerReport(*next, aNow);
  }
}

bool
RunSupervisor::IsSameIncarnation(const HoldAnswer& aAnswer,
                                 const RunnerReport& aReport)
{
  return aAnswer.startedMs == 0 || aAnswer.startedMs == aReport.startedMs;
}

void
RunSupervisor::AdoptIncarnation(const RunnerReport& aReport,
                                const HoldAnswer& aAnswer,
                                std::uint64_t aToken,
                                MonotonicTime aNow)
{
  // A start call to the earlier incarnation may have reached this one. The
  // higher token fences off further ones.
  auto arrived = KeysOf(aAnswer);
  ResolveSuspectedLosses(protocol::LossState::Confirmed);
  bool hadLeft = runner_ && runner_->isLeaving;
  EndRunsExcept(
    arrived, hadLeft ? EndEvidence::RunnerLeft : EndEvidence::RunnerLost, aNow);
  if (departure_) {
    ReleaseRunner(aNow);
  }
  for (const auto& key : arrived) {
    auto found = runs_.find(key);
    if (found != runs_.end()) {
      found->second.stopAcceptedAt = {};
    }
  }
  // Equal labels stand for equal hardware.
  bool hasSameLabels = runner_ && runner_->report.labels == aReport.labels;
  auto learnedSlowness = aReport.learnedSlowness == 0 && hasSameLabels
                           ? runner_->report.learnedSlowness
                           : aReport.learnedSlowness;
  health_.Reset();
  health_.Seed(learnedSlowness, aNow);
  foreignRuns_.clear();
  runner_ = RunnerIncarnation(limits_.maxClockDrift);
  runner_->report = aReport;
  runner_->report.learnedSlowness = learnedSlowness;
  runner_->token = aToken;
  runner_->leasesExpireAt = aNow + limits_.grantedLease * 2;
  pendingHolds_.clear();
  if (!aReport.isInferred) {
    port_.SaveReport(runner_->report);
  }
  port_.OnRunnerAdopted(aReport, aToken);
  ProcessHoldAnswer(aAnswer, { 0, aNow, aToken, 0, aNow, true }, aNow);
}

void
RunSupervisor::RaiseToken(std::uint64_t aBy)
{
  runner_->token += aBy;
  runner_->isReconciled = false;
}

void
RunSupervisor::RaiseTokenAfterFencing()
{
  RaiseToken(kFencedTokenIncrement);
}

}
