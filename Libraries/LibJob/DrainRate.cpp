#include "LibJob/DrainRate.h"

#include <cmath>

namespace vanillaworks::job {

namespace {
constexpr double kDecayTimeMs = 500;
constexpr std::size_t kMinSamples = 20;
constexpr Milliseconds kMaxEstimate{ 60'000 };
}

void
DrainRate::OnEnded(MonotonicTime aNow)
{
  perMillisecond_ = PerMillisecond(aNow) + 1 / kDecayTimeMs;
  updatedAt_ = aNow;
  ++samples_;
}

double
DrainRate::PerMillisecond(MonotonicTime aNow) const
{
  auto since =
    std::chrono::duration<double, std::milli>(aNow - updatedAt_).count();
  return perMillisecond_ * std::exp(-since / kDecayTimeMs);
}

std::optional<Milliseconds>
DrainRate::EstimateWait(std::size_t aTasks, MonotonicTime aNow) const
{
  if (samples_ < kMinSamples) {
    return {};
  }
  auto time = static_cast<double>(aTasks) / PerMillisecond(aNow);
  if (time >= static_cast<double>(kMaxEstimate.count())) {
    return kMaxEstimate;
  }
  return Milliseconds(static_cast<std::int64_t>(time));
}

}
