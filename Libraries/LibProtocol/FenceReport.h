#ifndef Libraries_LibProtocol_FenceReport_h
#define Libraries_LibProtocol_FenceReport_h

#include "LibCore/Ids.h"
#include "LibProtocol/TaskKey.h"
#include "LibProtocol/TaskResult.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** Agent to entry: all that the gate knows of a fenced incarnation. */
struct FenceReport
{
  EntryId entry;
  Incarnation incarnation;
  /** Started and not ended; their results go to the fencing entry. */
  std::vector<TaskKey> running;
  /** Ended and not acknowledged. */
  std::vector<TaskResult> ended;
  /** Ended, acknowledged or dropped: started, and no result is left. */
  std::vector<TaskKey> forgotten;

  MSGPACK_DEFINE_ARRAY(entry, incarnation, running, ended, forgotten)
};

}

#endif
