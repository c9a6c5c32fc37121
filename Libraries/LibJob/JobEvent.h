#ifndef Libraries_LibJob_JobEvent_h
#define Libraries_LibJob_JobEvent_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/RunOutcome.h"

#include <cstdint>
#include <string>

namespace vanillaworks::job {

/** A task was sent to an agent, with the figures behind the choice. */
struct TaskPlaced
{
  SubmissionId job;
  std::uint32_t task;
  std::uint32_t run;
  UpstreamId upstream;
  std::size_t candidates;
  Milliseconds startIn;
  Milliseconds endIn;
};

/** An agent reported the outcome of a run. */
struct TaskEnded
{
  SubmissionId job;
  std::string route;
  std::uint32_t task;
  std::uint32_t run;
  UpstreamId upstream;
  protocol::RunOutcome outcome;
  /** From the start to the end of the run, by the agent's clock. */
  Milliseconds elapsed;
  /** From the order to the report of the end, by the entry's clock. */
  Milliseconds sincePlaced;
  /** The value of sincePlaced that was expected at placement. */
  Milliseconds expected;
};

/**
 * A run whose agent was lost counts as over, because the time after which it
 * can't be active has passed; its task may be placed again.
 */
struct TaskReleased
{
  SubmissionId job;
  std::uint32_t task;
  std::uint32_t run;
  UpstreamId upstream;
  /** Since the agent was lost. */
  Milliseconds sinceLoss;
};

}

#endif
