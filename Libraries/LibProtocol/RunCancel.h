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

  MSGPACK_DEFINE_ARRAY(job, tasks, scope)
};

}

MSGPACK_ADD_ENUM(vanillaworks::protocol::CancelScope)

#endif
