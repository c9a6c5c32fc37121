#ifndef Libraries_LibProtocol_FenceReport_h
#define Libraries_LibProtocol_FenceReport_h

#include "LibProtocol/TaskKey.h"
#include "LibProtocol/TaskResult.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** Agent to entry: all tasks of a round's submissions started here. */
struct FenceReport
{
  std::uint64_t round = 0;
  /** Started, not ended; results will go to the requesting entry. */
  std::vector<TaskKey> running;
  /** Ended, but the result is not acknowledged yet. */
  std::vector<TaskResult> ended;
  /** Ended, and the result is no longer retained. */
  std::vector<TaskKey> forgotten;

  MSGPACK_DEFINE_ARRAY(round, running, ended, forgotten)
};

}

#endif
