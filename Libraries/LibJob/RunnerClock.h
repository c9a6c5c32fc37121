#ifndef Libraries_LibJob_RunnerClock_h
#define Libraries_LibJob_RunnerClock_h

#include "LibCore/Time.h"

#include <cstdint>

namespace vanillaworks::job {

/**
 * A runner's own clock, as an agent knows it from what the runner says. Its
 * estimates are never ahead of the runner's clock, so that a lease that is
 * requested by them never ends later than intended. Not thread safe.
 */
class RunnerClock
{
public:
  /** aMaxDrift: how slow the clock may be (0.02: 2%). */
  explicit RunnerClock(double aMaxDrift)
    : maxDrift_(aMaxDrift)
  {
  }

  /**
   * aClockMs: the clock in a message from the runner, which was received at
   * aNow. A message that was delayed for long changes nothing.
   */
  void OnRead(std::int64_t aClockMs, MonotonicTime aNow)
  {
    if (aClockMs >= EstimateMs(aNow)) {
      readMs_ = aClockMs;
      readAt_ = aNow;
    }
  }

  /** The least that the clock may show, in milliseconds. */
  std::int64_t EstimateMs(MonotonicTime aNow) const
  {
    if (readAt_ == MonotonicTime{}) {
      return 0;
    }
    auto passed = (aNow - readAt_) * (1 - maxDrift_);
    return readMs_ + std::chrono::duration_cast<Milliseconds>(passed).count();
  }

private:
  double maxDrift_;
  std::int64_t readMs_ = 0;
  MonotonicTime readAt_;
};

}

#endif
