#ifndef Libraries_LibJob_DrainRate_h
#define Libraries_LibJob_DrainRate_h

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace vanillaworks::job {

/**
 * How fast tasks end, as an average that forgets: tells how long a queue of
 * tasks will wait for the room of those that run (Little's law). Answers the
 * load in which more comes than there is room for. Not thread safe.
 */
class DrainRate
{
public:
  void OnEnded(MonotonicTime aNow);
  /** Nothing until enough tasks have ended to tell. */
  std::optional<Milliseconds> TimeFor(std::size_t aTasks,
                                      MonotonicTime aNow) const;

private:
  double PerMillisecond(MonotonicTime aNow) const;

  double perMillisecond_ = 0;
  std::size_t ended_ = 0;
  MonotonicTime at_;
};

}

#endif
