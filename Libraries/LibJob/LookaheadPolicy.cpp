#include "LibJob/LookaheadPolicy.h"

#include <algorithm>
#include <optional>

namespace vanillaworks::job {

namespace {
/** Resources promised to a queued run from a time in the future on. */
struct Reservation
{
  /** Time from now at which the run is expected to start. */
  Milliseconds startIn;
  /** What is left for others from then on. */
  Resources spare;
};

/** Returns nothing if the run doesn't fit even beside no other. */
std::optional<Reservation>
Reserve(const Resources& aFree,
        std::vector<PlannedRun> aActive,
        const Resources& aDemand)
{
  std::sort(aActive.begin(),
            aActive.end(),
            [](const PlannedRun& aOne, const PlannedRun& aOther) {
              return aOne.time < aOther.time;
            });
  auto free = aFree;
  for (const auto& run : aActive) {
    free += run.demand;
    if (free.Fits(aDemand)) {
      free -= aDemand;
      return Reservation{ run.time, free };
    }
  }
  return {};
}

/** Whether a run that starts now leaves the reserved resources free. */
bool
MayStartBefore(Reservation& aReservation, const PlannedRun& aRun)
{
  if (aRun.time <= aReservation.startIn) {
    return true;
  }
  if (!aReservation.spare.Fits(aRun.demand)) {
    return false;
  }
  aReservation.spare -= aRun.demand;
  return true;
}
}

std::vector<std::size_t>
LookaheadPolicy::RunsToStart(const RunnerLoad& aLoad) const
{
  auto free = aLoad.free;
  auto active = aLoad.active;
  std::vector<std::size_t> started;
  std::optional<Reservation> reservation;
  for (std::size_t i = 0; i < aLoad.queue.size() && free.cpu > 0; ++i) {
    const auto& run = aLoad.queue[i];
    if (!free.Fits(run.demand)) {
      if (!reservation) {
        reservation = Reserve(free, active, run.demand);
      }
      continue;
    }
    if (reservation && !MayStartBefore(*reservation, run)) {
      continue;
    }
    free -= run.demand;
    active.push_back(run);
    started.push_back(i);
  }
  return started;
}

}
