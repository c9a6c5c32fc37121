#ifndef Libraries_LibDispatch_RandomRouting_h
#define Libraries_LibDispatch_RandomRouting_h

#include "LibDispatch/RoutingPolicy.h"

#include <cstdint>
#include <random>

namespace vanillaworks::dispatch {

/** Chooses an eligible upstream at random, regardless of its load. */
class RandomRouting final : public RoutingPolicy
{
public:
  explicit RandomRouting(std::uint64_t aSeed)
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
