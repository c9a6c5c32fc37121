#ifndef Libraries_LibDispatch_UpstreamRecord_h
#define Libraries_LibDispatch_UpstreamRecord_h

#include "LibCore/Time.h"
#include "LibDispatch/ServiceTimeEstimate.h"
#include "LibProtocol/AgentHello.h"
#include "LibProtocol/TaskKey.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace vanillaworks::dispatch {

/** The state of one upstream as an entry knows it. */
struct UpstreamRecord
{
  protocol::AgentHello hello;
  bool isLinkUp = false;
  /**
   * When the link went down; empty while it is up or once the upstream's tasks
   * have been handled as lost.
   */
  std::optional<MonotonicTime> downSince;
  bool stopping = false;
  bool setAside = false;
  bool registered = false;
  /** No task is sent until then, after a refusal that may be temporary. */
  MonotonicTime avoidUntil;
  /** Tasks of all entries at the agent, from its last report. */
  std::uint32_t reportedOccupancy = 0;
  /** This entry's own tasks there at the time of that report. */
  std::uint32_t ownAtReport = 0;
  /** Sent tasks whose result is awaited, with their teams. */
  std::unordered_map<protocol::TaskKey, TeamId> outstanding;
  std::unordered_map<TaskKind, ServiceTimeEstimate> serviceTimes;

  bool Serves(const TaskKind& aKind) const
  {
    return std::find(hello.kinds.begin(), hello.kinds.end(), aKind) !=
           hello.kinds.end();
  }

  /** This entry's tasks there plus those of others at the last report. */
  std::uint32_t EstimatedOccupancy() const
  {
    auto others = reportedOccupancy - std::min(reportedOccupancy, ownAtReport);
    return static_cast<std::uint32_t>(outstanding.size()) + others;
  }
};

}

#endif
