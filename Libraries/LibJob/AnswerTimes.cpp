#include "LibJob/AnswerTimes.h"

#include <algorithm>
#include <cmath>

namespace vanillaworks::job {

namespace {
constexpr Milliseconds kShortest{ 20 };
constexpr Milliseconds kLongest{ 60 };
constexpr double kSmoothedWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;
}

void
AnswerTimes::Add(Milliseconds aTime)
{
  auto time = static_cast<double>(aTime.count());
  if (!isKnown_) {
    isKnown_ = true;
    smoothedMs_ = time;
    deviationMs_ = time / 2;
    return;
  }
  deviationMs_ +=
    (std::abs(time - smoothedMs_) - deviationMs_) * kDeviationWeight;
  smoothedMs_ += (time - smoothedMs_) * kSmoothedWeight;
}

Milliseconds
AnswerTimes::Timeout() const
{
  if (!isKnown_) {
    return kLongest;
  }
  auto timeout = static_cast<std::int64_t>(
    std::ceil(smoothedMs_ + kDeviations * deviationMs_));
  return std::clamp(Milliseconds(timeout), kShortest, kLongest);
}

}
