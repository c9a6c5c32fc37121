#ifndef Libraries_LibDispatch_RoutingPolicy_h
#define Libraries_LibDispatch_RoutingPolicy_h

#include "LibDispatch/UpstreamDirectory.h"

#include <optional>

namespace vanillaworks::dispatch {

/** Chooses where a task goes. Not thread safe. */
class RoutingPolicy
{
public:
  virtual ~RoutingPolicy() = default;

  /** Nothing means: keep the task until something changes. */
  virtual std::optional<UpstreamId> Choose(
    const TaskNeeds& aNeeds,
    const UpstreamDirectory& aDirectory,
    const ConfigurationDocument& aConfiguration,
    MonotonicTime aNow) = 0;
};

}

#endif
