#include "LibJob/DrainRate.h"

#include <cmath>

namespace vanillaworks::job {

namespace {
constexpr double kMemoryMs = 500;
constexpr std::size_t kEnoughEnds = 20;
constexpr Milliseconds kLongest{ 60'000 };
}

void
DrainRate::OnEnded(MonotonicTime aNow)
{
  perMillisecond_ = PerMillisecond(aNow) + 1 / kMemoryMs;
  at_ = aNow;
  ++ended_;
}

double
DrainRate::PerMillisecond(MonotonicTime aNow) const
{
  auto since = std::chrono::duration<double, std::milli>(aNow - at_).count();
  return perMillisecond_ * std::exp(-since / kMemoryMs);
}

std::optional<Milliseconds>
DrainRate::TimeFor(std::size_t aTasks, MonotonicTime aNow) const
{
  if (ended_ < kEnoughEnds) {
    return {};
  }
  auto time = static_cast<double>(aTasks) / PerMillisecond(aNow);
  if (time >= static_cast<double>(kLongest.count())) {
    return kLongest;
  }
  return Milliseconds(static_cast<std::int64_t>(time));
}

}
