#ifndef Libraries_LibProtocol_FenceReport_h
#define Libraries_LibProtocol_FenceReport_h

#include "LibProtocol/TaskKey.h"
#include "LibProtocol/TaskResult.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** Agent to entry: all that was started here of a round's submissions. */
struct FenceReport
{
  std::uint64_t round = 0;
  /** Started and not ended; their results go to the entry that asked. */
  std::vector<TaskKey> running;
  /** Ended and not acknowledged. */
  std::vector<TaskResult> ended;
  /** Ended, and no result is left. */
  std::vector<TaskKey> forgotten;

  MSGPACK_DEFINE_ARRAY(round, running, ended, forgotten)
};

}

#endif
