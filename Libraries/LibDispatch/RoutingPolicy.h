#ifndef Libraries_LibDispatch_RoutingPolicy_h
#define Libraries_LibDispatch_RoutingPolicy_h

#include "LibDispatch/UpstreamDirectory.h"

#include <cstdint>
#include <unordered_map>
#include <variant>

namespace vanillaworks::dispatch {

/** Send the task there now. */
struct SendNow
{
  UpstreamId upstream;
};

/** It would end sooner by waiting for that upstream than anywhere else now. */
struct WaitFor
{
  UpstreamId upstream;
};

/** Nothing may take it now, however long it waits. */
struct NoUpstream
{};

using RoutingChoice = std::variant<SendNow, WaitFor, NoUpstream>;

/** Tasks that one walk over the queue leaves waiting, by upstream. */
using WaitingFor = std::unordered_map<UpstreamId, std::uint32_t>;

/** Chooses where a task goes. Not thread safe. */
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;

  /** aWaiting: tasks of this walk that go before this one. */
  virtual RoutingChoice Choose(const TaskNeeds& aNeeds,
                               const UpstreamDirectory& aDirectory,
                               const ConfigurationDocument& aConfiguration,
                               const WaitingFor& aWaiting,
                               MonotonicTime aNow) = 0;
};

}

#endif
