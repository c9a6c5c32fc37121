#ifndef Libraries_LibJob_RunnerReleased_h
#define Libraries_LibJob_RunnerReleased_h

#include "LibCore/Time.h"

#include <cstddef>
#include <string>

namespace vanillaworks::job {

/** A runner's announcement that it shuts down may be answered. */
struct RunnerReleased
{
  std::string runner;
  /** Numbers of runs that might be active when it announced that, and now. */
  std::size_t runsAnnounced = 0;
  std::size_t runsLeft = 0;
  /** Since the announcement. */
  Milliseconds waited{ 0 };
};

}

#endif
