#include "LibDispatch/LearnedRouting.h"

#include <limits>

namespace vanillaworks::dispatch {

namespace {
/** Tasks of a job that may wait at an agent so that no slot idles. */
constexpr std::uint32_t kAheadOfSlots = 1;

std::uint32_t
RoomFor(const UpstreamRecord& aRecord, const TaskNeeds& aNeeds)
{
  // A single request may wait at the agent, where it goes first; a job's
  // tasks wait here, where they can still go anywhere.
  auto ahead = aNeeds.rank == 0 ? aRecord.hello.slots / 2 : kAheadOfSlots;
  if (aRecord.setAside) {
    return 1;
  }
  return aRecord.hello.slots + ahead;
}

/** Microseconds until the task would end there. */
double
ExpectedEnd(const UpstreamRecord& aRecord, double aService)
{
  auto occupied = aRecord.EstimatedOccupancy();
  auto slots = std::max(aRecord.hello.slots, 1U);
  double ahead =
    occupied < slots ? 0.0 : static_cast<double>(occupied - slots + 1);
  return aService * (1.0 + ahead / slots);
}
}

std::optional<UpstreamId>
LearnedRouting::Choose(const TaskNeeds& aNeeds,
                       const UpstreamDirectory& aDirectory,
                       const ConfigurationDocument& aConfiguration,
                       MonotonicTime aNow)
{
  std::optional<UpstreamId> best;
  double bestEnd = std::numeric_limits<double>::max();
  std::uint32_t equals = 0;
  for (const auto& [upstream, record] : aDirectory.All()) {
    if (!UpstreamDirectory::IsEligible(record, aNeeds, aConfiguration, aNow) ||
        record.EstimatedOccupancy() >= RoomFor(record, aNeeds)) {
      continue;
    }
    // A worker under suspicion gets a repeatable request as a trial, not a
    // task that can't be tried again.
    if (record.setAside && aNeeds.claimed) {
      continue;
    }
    auto service = aDirectory.ExpectedService(record, aNeeds.kind);
    auto end = ExpectedEnd(record, service);
    if (end > bestEnd) {
      continue;
    }
    // Ties are broken at random, so that entries that know the same don't
    // all choose the same.
    equals = end < bestEnd ? 1 : equals + 1;
    if (equals > 1 && std::uniform_int_distribution<std::uint32_t>(1, equals)(
                        generator_) != 1) {
      continue;
    }
    bestEnd = end;
    best = upstream;
  }
  return best;
}

}
