#include "LibJob/RunnerHealth.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
constexpr double kMinRatio = 0.2;
constexpr double kMaxRatio = 12;
constexpr double kDoneWeight = 0.08;
constexpr double kProgressWeight = 0.04;
constexpr double kTypicalWeight = 0.01;
constexpr double kFailureWeight = 0.12;
/** A stuck run delays its job more than one that fails immediately. */
constexpr double kStuckWeight = 0.25;
constexpr double kSuspectThreshold = 0.3;
/** After probation, a single failure makes the worker suspect again. */
constexpr double kFailureShareAfterProbation = 0.25;
constexpr std::size_t kJobsToSuspect = 3;
constexpr Milliseconds kProbation{ 1200 };
constexpr Milliseconds kSampleMaxAge{ 700 };
constexpr double kDecayShare = 0.1;
constexpr double kPermille = 1000;
/** A seeded slowness counts as much as this number of samples. */
constexpr std::uint32_t kSeedSamples = 4;
constexpr std::uint32_t kMinLearnedSamples = 30;
}

void
RunnerHealth::OnDone(Milliseconds aEstimate,
                     Milliseconds aElapsed,
                     MonotonicTime aNow)
{
  failureShare_ *= 1 - kFailureWeight;
  if (failureShare_ < kSuspectThreshold / 4) {
    failedJobs_.clear();
  }
  if (aEstimate.count() <= 0) {
    return;
  }
  auto ratio =
    static_cast<double>(std::max<std::int64_t>(aElapsed.count(), 1)) /
    static_cast<double>(aEstimate.count());
  AddRatio(ratio, kDoneWeight, aNow);
  auto weight = std::max(kTypicalWeight, 1.0 / samples_);
  typicalSlowness_ +=
    (std::clamp(ratio, kMinRatio, kMaxRatio) - typicalSlowness_) * weight;
}

void
RunnerHealth::OnProgress(Milliseconds aEstimate,
                         Milliseconds aExpected,
                         MonotonicTime aNow)
{
  if (aEstimate.count() <= 0) {
    return;
  }
  auto ratio = static_cast<double>(aExpected.count()) /
               static_cast<double>(aEstimate.count());
  // Estimates are inaccurate, so only a large ratio says something about the
  // worker.
  if (ratio > 2 * slowness_) {
    AddRatio(ratio, kProgressWeight, aNow);
  }
}

void
RunnerHealth::AddRatio(double aRatio, double aMinWeight, MonotonicTime aNow)
{
  ++samples_;
  auto weight = std::max(aMinWeight, 1.0 / samples_);
  slowness_ += (std::clamp(aRatio, kMinRatio, kMaxRatio) - slowness_) * weight;
  sampledAt_ = aNow;
}

void
RunnerHealth::OnFailed(const SubmissionId& aJob, MonotonicTime aNow)
{
  AddFailure(aJob, kFailureWeight, aNow);
}

void
RunnerHealth::OnStuck(const SubmissionId& aJob, MonotonicTime aNow)
{
  AddFailure(aJob, kStuckWeight, aNow);
}

void
RunnerHealth::AddFailure(const SubmissionId& aJob,
                         double aWeight,
                         MonotonicTime aNow)
{
  failureShare_ += (1 - failureShare_) * aWeight;
  if (failedJobs_.size() < kJobsToSuspect) {
    failedJobs_.insert(aJob);
  }
  if (failureShare_ > kSuspectThreshold &&
      failedJobs_.size() >= kJobsToSuspect) {
    suspectUntil_ = aNow + kProbation;
  }
}

void
RunnerHealth::OnTick(MonotonicTime aNow)
{
  if (aNow - sampledAt_ > kSampleMaxAge) {
    slowness_ += (typicalSlowness_ - slowness_) * kDecayShare;
    sampledAt_ += Milliseconds(100);
  }
  if (suspectUntil_ != MonotonicTime{} && aNow >= suspectUntil_) {
    suspectUntil_ = {};
    failureShare_ = std::min(failureShare_, kFailureShareAfterProbation);
  }
}

void
RunnerHealth::Reset()
{
  *this = {};
}

void
RunnerHealth::Seed(std::int64_t aSlownessPermille, MonotonicTime aNow)
{
  if (samples_ > 0 || aSlownessPermille <= 0) {
    return;
  }
  slowness_ = std::clamp(
    static_cast<double>(aSlownessPermille) / kPermille, kMinRatio, kMaxRatio);
  samples_ = kSeedSamples;
  sampledAt_ = aNow;
}

std::int64_t
RunnerHealth::LearnedSlownessPermille() const
{
  return samples_ < kMinLearnedSamples
           ? 0
           : static_cast<std::int64_t>(typicalSlowness_ * kPermille);
}

std::int64_t
RunnerHealth::SlownessPermille() const
{
  return static_cast<std::int64_t>(slowness_ * kPermille);
}

bool
RunnerHealth::IsSuspect(MonotonicTime aNow) const
{
  return aNow < suspectUntil_;
}

}
