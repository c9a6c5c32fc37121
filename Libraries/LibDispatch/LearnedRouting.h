#ifndef Libraries_LibDispatch_LearnedRouting_h
#define Libraries_LibDispatch_LearnedRouting_h

#include "LibDispatch/RoutingPolicy.h"

#include <cstdint>
#include <random>

namespace vanillaworks::dispatch {

/**
 * Sends a task where it is expected to end first, from the speed that each
 * upstream has shown for its kind of work and from what is at the agent
 * already. Where that is an upstream without a free slot the task stays in the
 * entry's queue, so that the choice is made as late as possible; it counts as
 * taking its turn there, so that a long queue still uses slow upstreams.
 */
class LearnedRouting final : public RoutingPolicy
{
public:
  explicit LearnedRouting(std::uint64_t aSeed)
    : generator_(aSeed)
  {
  }

  RoutingChoice Choose(const TaskNeeds& aNeeds,
                       const UpstreamDirectory& aDirectory,
                       const ConfigurationDocument& aConfiguration,
                       const WaitingFor& aWaiting,
                       MonotonicTime aNow) override;

private:
  std::mt19937_64 generator_;
};

}

#endif
