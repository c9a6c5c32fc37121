#ifndef Libraries_LibJob_RunnerDeparture_h
#define Libraries_LibJob_RunnerDeparture_h

#include "LibCore/Time.h"

#include <cstddef>
#include <string>

namespace vanillaworks::job {

/** An announced shutdown that has not been answered. */
struct RunnerDeparture
{
  std::string runner;
  MonotonicTime announcedAt;
  /** Number of runs that may have been active at that time. */
  std::size_t runs;
};

}

#endif
