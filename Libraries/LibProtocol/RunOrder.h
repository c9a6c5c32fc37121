#ifndef Libraries_LibProtocol_RunOrder_h
#define Libraries_LibProtocol_RunOrder_h

#include "LibCore/Ids.h"
#include "LibProtocol/RunTask.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace vanillaworks::protocol {

/** Entry to agent: run these tasks of a job once resources are free. */
struct RunOrder
{
  /** Total number of tasks ordered on this link, including these. */
  std::uint64_t sequence = 0;
  SubmissionId job;
  std::string spec;
  /** Resources of each task: thousandths of a core, MB, accelerators. */
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  std::int64_t accelerators = 0;
  /** 0 is the highest priority. */
  std::uint32_t priority = 0;
  /** Expected run time on a worker of ordinary speed. */
  std::int64_t estimateMs = 0;
  /** A task not started within this time is returned; 0: immediately. */
  std::int64_t startWithinMs = 0;
  std::vector<RunTask> tasks;
  /**
   * Indexes of those tasks that were at work on a runner as it was lost. They
   * are started apart from each other, so that a further loss tells which of
   * them is to blame.
   */
  std::vector<std::uint32_t> suspects;

  MSGPACK_DEFINE_ARRAY(sequence,
                       job,
                       spec,
                       cpu,
                       memory,
                       accelerators,
                       priority,
                       estimateMs,
                       startWithinMs,
                       tasks,
                       suspects)
};

}

#endif
