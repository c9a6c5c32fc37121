#ifndef Libraries_LibDispatch_UpstreamRecord_h
#define Libraries_LibDispatch_UpstreamRecord_h

#include "LibCore/Time.h"
#include "LibDispatch/SpeedEstimate.h"
#include "LibProtocol/AgentHello.h"
#include "LibProtocol/TaskKey.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace vanillaworks::dispatch {

/** What an entry knows of one upstream. */
struct UpstreamRecord
{
  protocol::AgentHello hello;
  bool linkUp = false;
  /** Set while the link is down: when it went. */
  std::optional<MonotonicTime> downSince;
  bool stopping = false;
  bool setAside = false;
  bool registered = false;
  /** Until then the gate refused for a reason that will pass. */
  MonotonicTime avoidUntil;
  /** Tasks at the agent from all entries, as it said last. */
  std::uint32_t reportedOccupancy = 0;
  /** Our own tasks there when it said so. */
  std::uint32_t ownAtReport = 0;
  /** Tasks that we sent and whose result we await, and whose they are. */
  std::unordered_map<protocol::TaskKey, TeamId> outstanding;
  std::unordered_map<TaskKind, SpeedEstimate> speeds;

  bool Serves(const TaskKind& aKind) const
  {
    return std::find(hello.kinds.begin(), hello.kinds.end(), aKind) !=
           hello.kinds.end();
  }

  /** Our own tasks there, and what others had there at the last report. */
  std::uint32_t EstimatedOccupancy() const
  {
    auto others = reportedOccupancy - std::min(reportedOccupancy, ownAtReport);
    return static_cast<std::uint32_t>(outstanding.size()) + others;
  }
};

}

#endif
