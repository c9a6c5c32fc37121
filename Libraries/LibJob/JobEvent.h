#ifndef Libraries_LibJob_JobEvent_h
#define Libraries_LibJob_JobEvent_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/RunOutcome.h"

#include <cstdint>
#include <string>

namespace vanillaworks::job {

/** A task was given to an agent: what decided it. */
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

/** An agent said what became of a run. */
struct TaskEnded
{
  SubmissionId job;
  std::string route;
  std::uint32_t task;
  std::uint32_t run;
  UpstreamId upstream;
  protocol::RunOutcome outcome;
  /** From its start to its end, by the agent's clock. */
  Milliseconds elapsed;
  /** From its order to this word of its end. */
  Milliseconds sincePlaced;
  /** The same as it was expected when it was placed. */
  Milliseconds expected;
};

}

#endif
