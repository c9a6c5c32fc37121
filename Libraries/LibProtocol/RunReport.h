#ifndef Libraries_LibProtocol_RunReport_h
#define Libraries_LibProtocol_RunReport_h

#include "LibCore/Ids.h"
#include "LibProtocol/RunOutcome.h"
#include "LibProtocol/RunTask.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** The outcome of one run. */
struct RunEnd
{
  RunTask task;
  RunOutcome outcome = RunOutcome::Done;
  /** From start to end, in milliseconds; 0 if the run never started. */
  std::int64_t elapsedMs = 0;

  MSGPACK_DEFINE_ARRAY(task, outcome, elapsedMs)
};

/** Agent to entry: outcomes of runs of one job, final but for StillRunning. */
struct RunReport
{
  SubmissionId job;
  std::vector<RunEnd> ends;

  MSGPACK_DEFINE_ARRAY(job, ends)
};

}

#endif
