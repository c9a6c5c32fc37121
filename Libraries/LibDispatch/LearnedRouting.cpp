#include "LibDispatch/LearnedRouting.h"

#include <limits>

namespace vanillaworks::dispatch {

namespace {
std::uint32_t
AdmissionLimit(const UpstreamRecord& aRecord,
               const TaskRequirements& aRequirements)
{
  if (aRecord.setAside) {
    return 1;
  }
  // A single request may queue at the agent, which starts single requests
  // first. Tasks of a job queue here, where any upstream can still get them.
  auto maxQueued = aRequirements.rank == 0 ? aRecord.hello.slots / 2 : 0;
  return aRecord.hello.slots + maxQueued;
}

/** Expected microseconds until a task added to aOccupied others ends. */
double
ExpectedEnd(const UpstreamRecord& aRecord,
            double aService,
            std::uint32_t aOccupied)
{
  auto slots = std::max(aRecord.hello.slots, 1U);
  double queuedAhead =
    aOccupied < slots ? 0.0 : static_cast<double>(aOccupied - slots + 1);
  return aService * (1.0 + queuedAhead / slots);
}
}

RoutingChoice
LearnedRouting::Choose(const TaskRequirements& aRequirements,
                       const UpstreamDirectory& aDirectory,
                       const ConfigurationDocument& aConfiguration,
                       const WaitingCounts& aWaiting,
                       MonotonicTime aNow)
{
  const UpstreamRecord* best = nullptr;
  bool bestHasCapacity = false;
  double bestEnd = std::numeric_limits<double>::max();
  std::uint32_t ties = 0;
  for (const auto& [upstream, record] : aDirectory.All()) {
    if (!UpstreamDirectory::IsEligible(
          record, aRequirements, aConfiguration, aNow)) {
      continue;
    }
    // A worker that is set aside is probed with a repeatable request, never
    // with a task that can't be retried.
    if (record.setAside && aRequirements.claimed) {
      continue;
    }
    auto waiting = aWaiting.find(upstream);
    auto occupied = record.EstimatedOccupancy() +
                    (waiting == aWaiting.end() ? 0 : waiting->second);
    bool hasCapacity = occupied < AdmissionLimit(record, aRequirements);
    if (record.setAside && !hasCapacity) {
      continue;
    }
    auto service = aDirectory.ExpectedServiceTime(record, aRequirements.kind);
    auto end = ExpectedEnd(record, service, occupied);
    if (end > bestEnd) {
      continue;
    }
    // Ties are broken at random, so that entries with the same information
    // don't all choose the same upstream.
    ties = end < bestEnd ? 1 : ties + 1;
    std::uniform_int_distribution<std::uint32_t> pick(1, ties);
    if (ties > 1 && pick(generator_) != 1) {
      continue;
    }
    best = &record;
    bestEnd = end;
    bestHasCapacity = hasCapacity;
  }
  if (!best) {
    return NoUpstream{};
  }
  if (bestHasCapacity) {
    return SendNow{ best->hello.upstream };
  }
  return WaitFor{ best->hello.upstream };
}

}
