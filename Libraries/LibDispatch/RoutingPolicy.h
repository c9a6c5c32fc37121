#ifndef Libraries_LibDispatch_RoutingPolicy_h
#define Libraries_LibDispatch_RoutingPolicy_h

#include "LibDispatch/UpstreamDirectory.h"

#include <cstdint>
#include <unordered_map>
#include <variant>

namespace vanillaworks::dispatch {

/** Send the task to that upstream now. */
struct SendNow
{
  UpstreamId upstream;
};

/** Waiting for that upstream completes sooner than any other choice now. */
struct WaitFor
{
  UpstreamId upstream;
};

/** No upstream is eligible for the task at present. */
struct NoUpstream
{};

using RoutingChoice = std::variant<SendNow, WaitFor, NoUpstream>;

/** Tasks that one pass over the queue leaves waiting, by upstream. */
using WaitingCounts = std::unordered_map<UpstreamId, std::uint32_t>;

/** Chooses the upstream of a task. Not thread safe. */
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;

  /** aWaiting: tasks of this pass that wait and precede this one. */
  virtual RoutingChoice Choose(const TaskRequirements& aRequirements,
                               const UpstreamDirectory& aDirectory,
                               const ConfigurationDocument& aConfiguration,
                               const WaitingCounts& aWaiting,
                               MonotonicTime aNow) = 0;
};

}

#endif
