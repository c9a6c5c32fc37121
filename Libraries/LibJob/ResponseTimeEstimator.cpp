#include "LibJob/ResponseTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace vanillaworks::job {

namespace {
constexpr Milliseconds kMinTimeout{ 20 };
constexpr Milliseconds kMaxTimeout{ 60 };
constexpr double kMeanGain = 1.0 / 8;
constexpr double kDeviationGain = 1.0 / 4;
constexpr double kDeviationFactor = 4;
}

void
ResponseTimeEstimator::AddSample(Milliseconds aTime)
{
  auto time = static_cast<double>(aTime.count());
  if (!hasSamples_) {
    hasSamples_ = true;
    smoothedMs_ = time;
    deviationMs_ = time / 2;
    return;
  }
  deviationMs_ +=
    (std::abs(time - smoothedMs_) - deviationMs_) * kDeviationGain;
  smoothedMs_ += (time - smoothedMs_) * kMeanGain;
}

Milliseconds
ResponseTimeEstimator::Timeout() const
{
  if (!hasSamples_) {
    return kMaxTimeout;
  }
  auto timeout = static_cast<std::int64_t>(
    std::ceil(smoothedMs_ + kDeviationFactor * deviationMs_));
  return std::clamp(Milliseconds(timeout), kMinTimeout, kMaxTimeout);
}

}
