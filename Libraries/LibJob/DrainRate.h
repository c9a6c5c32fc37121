#ifndef Libraries_LibJob_DrainRate_h
#define Libraries_LibJob_DrainRate_h

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace vanillaworks::job {

/**
 * Estimates the completion rate of tasks as an exponentially decaying average.
 * From the rate follows how long a queue of tasks waits for capacity under
 * overload (Little's law). Not thread safe.
 */
class DrainRate
{
public:
  void OnEnded(MonotonicTime aNow);
  /** Returns nothing until enough tasks have ended for an estimate. */
  std::optional<Milliseconds> EstimateWait(std::size_t aTasks,
                                           MonotonicTime aNow) const;

private:
  double PerMillisecond(MonotonicTime aNow) const;

  double perMillisecond_ = 0;
  std::size_t samples_ = 0;
  MonotonicTime updatedAt_;
};

}

#endif
