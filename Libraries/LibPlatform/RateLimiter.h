#ifndef Libraries_LibPlatform_RateLimiter_h
#define Libraries_LibPlatform_RateLimiter_h

#include "LibCore/Time.h"

namespace vanillaworks::platform {

/**
 * Token bucket for this entry's share of the request budget of all entries.
 * Not thread safe.
 */
class RateLimiter
{
public:
  RateLimiter(double aRatePerSecond, double aCapacity);

  /** Takes one token and returns how long to wait before using it. */
  Microseconds Reserve(MonotonicTime aNow);

private:
  double ratePerSecond_;
  double capacity_;
  double tokens_;
  MonotonicTime lastUse_;
};

}

#endif
