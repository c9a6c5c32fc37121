#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/**
 * In milliseconds, larger than any backward step of the clock between two
 * processes of an agent.
 */
constexpr std::uint64_t kFencedTokenIncrement = 3'600'000;
/** Delay until a verifying call without an answer is repeated. */
constexpr Milliseconds kVerificationRepeatDelay{ 25 };
constexpr std::size_t kMaxVerificationCalls = 4;
/** Longer than the interval of reports, the next of which begins another. */
constexpr Milliseconds kVerificationTimeout{ 3000 };

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
  RunnerVerification verification;
  verification.report = aReport;
  verification.clockMs = aClockMs;
  verification.expiresAt = aNow + kVerificationTimeout;
  verification_ = std::move(verification);
  ++statusRevision_;
  CallVerification(aNow);
}

void
RunSupervisor::CallVerification(MonotonicTime aNow)
{
  const auto& report = verification_->report;
  // The runner's start time and clock only increase, so a later process of this
  // agent derives a higher token without any coordination.
  auto token =
    static_cast<std::uint64_t>(report.startedMs + verification_->clockMs);
  if (runner_) {
    token = std::max(token, runner_->token + 1);
  }
  verification_->token = token;
  verification_->repeatAt = aNow + kVerificationRepeatDelay;
  auto number = nextHoldNumber_++;
  verification_->calls.insert(number);
  port_.CallHold(number, { { report.id, report.address, token }, 0, 0, {} });
}

void
RunSupervisor::RepeatVerificationIfDue(MonotonicTime aNow)
{
  if (!verification_) {
    return;
  }
  if (aNow >= verification_->expiresAt) {
    EndVerification(aNow);
    return;
  }
  // Until it is fenced, the incarnation carries out late calls that were meant
  // for its predecessor.
  bool isDue = aNow >= verification_->repeatAt &&
               verification_->calls.size() < kMaxVerificationCalls;
  if (isDue) {
    CallVerification(aNow);
  }
}

void
RunSupervisor::OnVerificationAnswered(std::uint64_t aNumber,
                                      const HoldAnswer& aAnswer,
                                      MonotonicTime aNow)
{
  verification_->calls.erase(aNumber);
  switch (aAnswer.result) {
    case HoldResult::Fenced:
      OnVerificationFenced(aAnswer.clockMs, aNow);
      return;
    case HoldResult::NotReached:
    case HoldResult::Unknown: {
      bool isSuperseded =
        nextReport_ &&
        (nextReport_->id != verification_->report.id ||
         nextReport_->startedMs != verification_->report.startedMs);
      if (isSuperseded) {
        EndVerification(aNow);
      }
      return;
    }
    case HoldResult::OtherIncarnation:
      EndVerification(aNow);
      return;
    case HoldResult::Answered:
      break;
  }
  if (!aAnswer.isComplete) {
    // The call is repeated.
    return;
  }
  auto verified = *verification_;
  bool isThere = IsSameIncarnation(aAnswer, verified.report) &&
                 MayBeNext(verified.report, aNow);
  if (isThere) {
    AdoptIncarnation(verified.report, aAnswer, verified.token, aNow);
  }
  EndVerification(aNow);
}

void
RunSupervisor::OnVerificationFenced(std::int64_t aClockMs, MonotonicTime aNow)
{
  // The clock in a saved report is old; the refusal contains the current one.
  // If a token from the current clock is refused as well, an earlier process
  // had raised its token beyond the clock.
  bool isFirst =
    verification_->refusals++ == 0 && aClockMs > verification_->clockMs;
  verification_->clockMs =
    isFirst ? aClockMs
            : verification_->clockMs +
                static_cast<std::int64_t>(kFencedTokenIncrement);
  verification_->calls.clear();
  CallVerification(aNow);
}

void
RunSupervisor::EndVerification(MonotonicTime aNow)
{
  verification_.reset();
  ++statusRevision_;
  StartQueuedRuns(aNow);
  CallHoldIfNeeded(aNow);
  FlushReports();
  auto next = std::move(nextReport_);
  nextReport_.reset();
  if (next) {
    OnRunnerReport(*next, aNow);
  }
}

bool
RunSupervisor::IsSuccessorAnnounced() const
{
  return verification_ && runner_ &&
         verification_->report.address == runner_->report.address;
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
  ProcessHoldAnswer(aAnswer, { 0, aNow, aToken, 0, aNow }, aNow);
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
