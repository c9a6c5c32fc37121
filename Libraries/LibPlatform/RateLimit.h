#ifndef Libraries_LibPlatform_RateLimit_h
#define Libraries_LibPlatform_RateLimit_h

#include "LibCore/Time.h"

namespace vanillaworks::platform {

/** A token bucket: this entry's part of the fleet's budget. Not thread safe. */
class RateLimit
{
public:
  RateLimit(double aPerSecond, double aBurst);

  /** How long to wait before the next use, which is counted now. */
  Microseconds Reserve(MonotonicTime aNow);

private:
  double perSecond_;
  double burst_;
  double tokens_;
  MonotonicTime last_;
};

}

#endif
