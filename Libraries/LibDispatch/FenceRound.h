#ifndef Libraries_LibDispatch_FenceRound_h
#define Libraries_LibDispatch_FenceRound_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/Fence.h"
#include "LibProtocol/FenceReport.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace vanillaworks::dispatch {

/** What became of a task of a fenced entry, as far as an agent knows. */
struct FoundTask
{
  enum class Fate : std::uint8_t
  {
    Running,
    Ended,
    Forgotten
  };
  UpstreamId upstream;
  Fate fate;
  protocol::TaskResult result;
};

/**
 * Asks every agent that may have started something of some submissions. Only
 * when all have answered is what nobody names known not to have started.
 */
struct FenceRound
{
  protocol::Fence fence;
  MonotonicTime patience;
  /** Agents that have not reported, and which life of each must. */
  std::map<UpstreamId, Incarnation> waiting;
  /** A life that had to report is over. */
  bool isHistoryLost = false;
  std::unordered_map<protocol::TaskKey, FoundTask> found;
};

}

#endif
