#ifndef Libraries_LibDispatch_LearnedRouting_h
#define Libraries_LibDispatch_LearnedRouting_h

#include "LibDispatch/RoutingPolicy.h"

#include <cstdint>
#include <random>

namespace vanillaworks::dispatch {

/**
 * Chooses the upstream with the earliest expected completion. The expectation
 * is based on the service times measured there for the task's kind and on the
 * tasks already at the agent. If the chosen upstream has no capacity left, the
 * task stays in the entry's queue, so that the choice is made as late as
 * possible. It still counts as waiting for that upstream, so that a long queue
 * also uses slower upstreams.
 */
class LearnedRouting final : public RoutingPolicy
{
public:
  explicit LearnedRouting(std::uint64_t aSeed)
    : generator_(aSeed)
  {
  }

  RoutingChoice Choose(const TaskRequirements& aRequirements,
                       const UpstreamDirectory& aDirectory,
                       const ConfigurationDocument& aConfiguration,
                       const WaitingCounts& aWaiting,
                       MonotonicTime aNow) override;

private:
  std::mt19937_64 generator_;
};

}

#endif
