#ifndef Libraries_LibDispatch_LearnedRouting_h
#define Libraries_LibDispatch_LearnedRouting_h

#include "LibDispatch/RoutingPolicy.h"

#include <cstdint>
#include <random>

namespace vanillaworks::dispatch {

/**
 * Sends a task where it is expected to end first, from the speed that each
 * upstream has shown for its kind of work and from what is at the agent
 * already. Where nothing has a slot free, tasks stay in the entry's queue, so
 * that the choice is made as late as possible.
 */
class LearnedRouting final : public RoutingPolicy
{
public:
  explicit LearnedRouting(std::uint64_t aSeed)
    : generator_(aSeed)
  {
  }

  std::optional<UpstreamId> Choose(const TaskNeeds& aNeeds,
                                   const UpstreamDirectory& aDirectory,
                                   const ConfigurationDocument& aConfiguration,
                                   MonotonicTime aNow) override;

private:
  std::mt19937_64 generator_;
};

}

#endif
