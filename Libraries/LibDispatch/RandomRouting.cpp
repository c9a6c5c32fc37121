#include "LibDispatch/RandomRouting.h"

#include <vector>

namespace vanillaworks::dispatch {

RoutingChoice
RandomRouting::Choose(const TaskRequirements& aRequirements,
                      const UpstreamDirectory& aDirectory,
                      const ConfigurationDocument& aConfiguration,
                      const WaitingCounts&,
                      MonotonicTime aNow)
{
  std::vector<UpstreamId> permitted;
  for (const auto& [upstream, record] : aDirectory.All()) {
    if (UpstreamDirectory::IsEligible(
          record, aRequirements, aConfiguration, aNow)) {
      permitted.push_back(upstream);
    }
  }
  if (permitted.empty()) {
    return NoUpstream{};
  }
  std::uniform_int_distribution<std::size_t> pick(0, permitted.size() - 1);
  return SendNow{ permitted[pick(generator_)] };
}

}
