#ifndef Libraries_LibProtocol_TaskResult_h
#define Libraries_LibProtocol_TaskResult_h

#include "LibProtocol/RefusalReason.h"
#include "LibProtocol/TaskKey.h"

#include <msgpack.hpp>
#include <string>

namespace vanillaworks::protocol {

enum class ResultCode : int
{
  Completed,
  /** The upstream ran the task fully or in part, and it failed. */
  Failed,
  /** The task certainly was not started here and never will be. */
  NotStarted
};

/** Agent to entry; retained by the agent until acknowledged. */
struct TaskResult
{
  /** Sequence number within one agent incarnation. */
  std::uint64_t number = 0;
  TaskKey key;
  ResultCode code = ResultCode::NotStarted;
  RefusalReason reason = RefusalReason::None;
  std::string payload;
  /** Service time at the upstream in microseconds. */
  std::int64_t service = 0;

  MSGPACK_DEFINE_ARRAY(number, key, code, reason, payload, service)
};

}

MSGPACK_ADD_ENUM(vanillaworks::protocol::ResultCode)

#endif
