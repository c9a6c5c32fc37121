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

/** The state of a fenced entry's task, as reported by an agent. */
struct FoundTask
{
  enum class State : std::uint8_t
  {
    Running,
    Ended,
    /** It ended and the agent no longer has the result. */
    ResultDropped
  };
  UpstreamId upstream;
  State state;
  protocol::TaskResult result;
};

/**
 * A query to all agents that may have started a task of certain submissions.
 * A task that no agent reports is known not to have started only once all of
 * them have reported.
 */
struct FenceRound
{
  protocol::Fence fence;
  MonotonicTime expiresAt;
  /** Agents yet to report, and the incarnation of each that must report. */
  std::map<UpstreamId, Incarnation> waiting;
  /** An agent incarnation that had to report has been replaced. */
  bool isStartRecordLost = false;
  std::unordered_map<protocol::TaskKey, FoundTask> found;
};

}

#endif
