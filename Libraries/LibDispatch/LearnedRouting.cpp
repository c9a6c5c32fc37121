#include "LibDispatch/LearnedRouting.h"

#include <limits>

namespace vanillaworks::dispatch {

namespace {
std::uint32_t
RoomFor(const UpstreamRecord& aRecord, const TaskNeeds& aNeeds)
{
  if (aRecord.setAside) {
    return 1;
  }
  // A single request may wait at the agent, where it goes first; a job's
  // tasks wait here, where they can still go anywhere.
  auto ahead = aNeeds.rank == 0 ? aRecord.hello.slots / 2 : 0;
  return aRecord.hello.slots + ahead;
}

/** Microseconds until a task would end that waits behind so many others. */
double
ExpectedEnd(const UpstreamRecord& aRecord,
            double aService,
            std::uint32_t aOccupied)
{
  auto slots = std::max(aRecord.hello.slots, 1U);
  double turns =
    aOccupied < slots ? 0.0 : static_cast<double>(aOccupied - slots + 1);
  return aService * (1.0 + turns / slots);
}
}

RoutingChoice
LearnedRouting::Choose(const TaskNeeds& aNeeds,
                       const UpstreamDirectory& aDirectory,
                       const ConfigurationDocument& aConfiguration,
                       const WaitingFor& aWaiting,
                       MonotonicTime aNow)
{
  const UpstreamRecord* best = nullptr;
  bool bestHasRoom = false;
  double bestEnd = std::numeric_limits<double>::max();
  std::uint32_t equals = 0;
  for (const auto& [upstream, record] : aDirectory.All()) {
    if (!UpstreamDirectory::IsEligible(record, aNeeds, aConfiguration, aNow)) {
      continue;
    }
    // A worker under suspicion gets a repeatable request as a trial, not a
    // task that can't be tried again.
    if (record.setAside && aNeeds.claimed) {
      continue;
    }
    auto waiting = aWaiting.find(upstream);
    auto occupied = record.EstimatedOccupancy() +
                    (waiting == aWaiting.end() ? 0 : waiting->second);
    bool hasRoom = occupied < RoomFor(record, aNeeds);
    if (record.setAside && !hasRoom) {
      continue;
    }
    auto service = aDirectory.ExpectedService(record, aNeeds.kind);
    auto end = ExpectedEnd(record, service, occupied);
    if (end > bestEnd) {
      continue;
    }
    // Ties are broken at random, so that entries that know the same don't
    // all choose the same.
    equals = end < bestEnd ? 1 : equals + 1;
    std::uniform_int_distribution<std::uint32_t> pick(1, equals);
    if (equals > 1 && pick(generator_) != 1) {
      continue;
    }
    best = &record;
    bestEnd = end;
    bestHasRoom = hasRoom;
  }
  if (!best) {
    return NoUpstream{};
  }
  if (bestHasRoom) {
    return SendNow{ best->hello.upstream };
  }
  return WaitFor{ best->hello.upstream };
}

}
