#include "LibPlatform/RateLimit.h"

#include <algorithm>

namespace vanillaworks::platform {

RateLimit::RateLimit(double aPerSecond, double aBurst)
  : perSecond_(aPerSecond)
  , burst_(aBurst)
  , tokens_(aBurst)
{
}

Microseconds
RateLimit::Reserve(MonotonicTime aNow)
{
  constexpr double kMicrosecondsInSecond = 1e6;
  if (last_ != MonotonicTime{}) {
    std::chrono::duration<double> passed = aNow - last_;
    tokens_ = std::min(burst_, tokens_ + passed.count() * perSecond_);
  }
  last_ = aNow;
  tokens_ -= 1.0;
  if (tokens_ >= 0) {
    return Microseconds(0);
  }
  return Microseconds(
    static_cast<std::int64_t>(-tokens_ / perSecond_ * kMicrosecondsInSecond));
}

}
