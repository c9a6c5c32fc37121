#ifndef Libraries_LibProtocol_Start_h
#define Libraries_LibProtocol_Start_h

#include "LibCore/Ids.h"
#include "LibProtocol/Capacity.h"
#include "LibProtocol/TaskKey.h"

#include <msgpack.hpp>
#include <string>

namespace vanillaworks::protocol {

/** Entry to agent: start this task if the start gate allows it. */
struct Start
{
  TaskKey key;
  TaskKind kind;
  std::string payload;
  /** Microseconds left to the deadline when the frame was written. */
  std::int64_t remaining = 0;
  /** Queued tasks of a lower rank start first at the agent. */
  std::uint32_t rank = 0;
  /** Set for a task of a submission that is claimed in the table. */
  bool claimed = false;
  Capacity demand;

  MSGPACK_DEFINE_ARRAY(key, kind, payload, remaining, rank, claimed, demand)
};

}

#endif
