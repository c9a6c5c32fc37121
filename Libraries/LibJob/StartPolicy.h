#ifndef Libraries_LibJob_StartPolicy_h
#define Libraries_LibJob_StartPolicy_h

#include "LibCore/Time.h"
#include "LibJob/Resources.h"

#include <cstddef>
#include <vector>

namespace vanillaworks::job {

/** A queued or active run, as far as the order of starts depends on it. */
struct PlannedRun
{
  Resources demand;
  /** Expected run time; of an active run, the rest of it. */
  Milliseconds time{ 0 };
};

/** What is free and runs on a runner, and what waits there. */
struct RunnerLoad
{
  /** Resources that no active run occupies. */
  Resources free;
  std::vector<PlannedRun> active;
  /** By priority, then by arrival. */
  std::vector<PlannedRun> queue;
};

/** Decides in which order the queued runs of a runner start. Thread safe. */
class StartPolicy
{
public:
  virtual ~StartPolicy() = default;

  /** Indexes of the queued runs that start now, in the order of their start. */
  virtual std::vector<std::size_t> RunsToStart(
    const RunnerLoad& aLoad) const = 0;
};

}

#endif
