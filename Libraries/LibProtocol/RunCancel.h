#ifndef Libraries_LibProtocol_RunCancel_h
#define Libraries_LibProtocol_RunCancel_h

#include "LibCore/Ids.h"
#include "LibProtocol/RunTask.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

enum class CancelScope : int
{
  /** Running tasks are stopped as well. */
  All,
  /** Running tasks continue, reported as RunOutcome::StillRunning. */
  Waiting
};

/** Entry to agent: cancel these runs; scope decides on started ones. */
struct RunCancel
{
  SubmissionId job;
  std::vector<RunTask> tasks;
  CancelScope scope = CancelScope::All;
  /**
   * In a RunResume: the entry has cancelled these runs, but the agent may have
   * missed that.
   */
  bool isCancelled = false;

  MSGPACK_DEFINE_ARRAY(job, tasks, scope, isCancelled)
};

}

MSGPACK_ADD_ENUM(vanillaworks::protocol::CancelScope)

#endif
