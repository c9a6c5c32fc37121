#include "LibPlatform/RateLimiter.h"

#include <algorithm>

namespace vanillaworks::platform {

RateLimiter::RateLimiter(double aRatePerSecond, double aCapacity)
  : ratePerSecond_(aRatePerSecond)
  , capacity_(aCapacity)
  , tokens_(aCapacity)
{
}

Microseconds
RateLimiter::Reserve(MonotonicTime aNow)
{
  constexpr double kMicrosecondsInSecond = 1e6;
  if (lastUse_ != MonotonicTime{}) {
    std::chrono::duration<double> elapsed = aNow - lastUse_;
    tokens_ = std::min(capacity_, tokens_ + elapsed.count() * ratePerSecond_);
  }
  lastUse_ = aNow;
  tokens_ -= 1.0;
  if (tokens_ >= 0) {
    return Microseconds(0);
  }
  return Microseconds(static_cast<std::int64_t>(-tokens_ / ratePerSecond_ *
                                                kMicrosecondsInSecond));
}

}
