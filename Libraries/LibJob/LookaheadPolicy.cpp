#include "LibJob/LookaheadPolicy.h"

#include "LibJob/LatePriority.h"

#include <algorithm>
#include <deque>
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

/** Indexes of queued runs in order of arrival, by priority. */
using QueuesByPriority = std::map<std::uint32_t, std::deque<std::size_t>>;

/** The queue whose first run goes next. aQueues must not be empty. */
QueuesByPriority::iterator
NextQueue(const RunnerLoad& aLoad,
          QueuesByPriority& aQueues,
          const std::map<std::uint32_t, std::int64_t>& aOccupied,
          std::int64_t aGuarantee)
{
  auto guaranteed =
    std::find_if(aQueues.begin(), aQueues.end(), [&](const auto& aItem) {
      const auto& first = aLoad.queue[aItem.second.front()];
      return !IsLatePriority(aItem.first) &&
             aOccupied.at(aItem.first) + first.demand.cpu <= aGuarantee;
    });
  return guaranteed != aQueues.end() ? guaranteed : aQueues.begin();
}
}

LookaheadPolicy::CpuByPriority
LookaheadPolicy::OccupiedCpu(const RunnerLoad& aLoad)
{
  CpuByPriority occupied;
  for (const auto& run : aLoad.active) {
    occupied[run.priority] += run.demand.cpu;
  }
  for (const auto& run : aLoad.queue) {
    occupied.try_emplace(run.priority, 0);
  }
  return occupied;
}

std::int64_t
LookaheadPolicy::Guarantee(const RunnerLoad& aLoad,
                           const CpuByPriority& aOccupied) const
{
  auto priorities =
    std::count_if(aOccupied.begin(), aOccupied.end(), [](const auto& aItem) {
      return !IsLatePriority(aItem.first);
    });
  auto shared = guaranteedShare_ * static_cast<double>(aLoad.capacity.cpu);
  return static_cast<std::int64_t>(shared) /
         std::max<std::int64_t>(priorities, 1);
}

std::vector<std::size_t>
LookaheadPolicy::RunsToStart(const RunnerLoad& aLoad) const
{
  auto occupied = OccupiedCpu(aLoad);
  auto guarantee = Guarantee(aLoad, occupied);
  auto free = aLoad.free;
  auto active = aLoad.active;
  std::vector<std::size_t> started;
  std::optional<Reservation> reservation;
  QueuesByPriority waiting;
  for (std::size_t i = 0; i < aLoad.queue.size(); ++i) {
    waiting[aLoad.queue[i].priority].push_back(i);
  }
  while (!waiting.empty() && free.cpu > 0) {
    auto next = NextQueue(aLoad, waiting, occupied, guarantee);
    auto index = next->second.front();
    next->second.pop_front();
    if (next->second.empty()) {
      waiting.erase(next);
    }
    const auto& run = aLoad.queue[index];
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
    occupied.at(run.priority) += run.demand.cpu;
    active.push_back(run);
    started.push_back(index);
  }
  return started;
}

std::int64_t
LookaheadPolicy::CpuNeededBefore(const RunnerLoad& aLoad,
                                 std::size_t aIndex) const
{
  const auto& own = aLoad.queue[aIndex];
  auto occupied = OccupiedCpu(aLoad);
  auto guarantee = Guarantee(aLoad, occupied);
  std::int64_t needed = 0;
  CpuByPriority queued;
  for (std::size_t i = 0; i < aLoad.queue.size(); ++i) {
    const auto& run = aLoad.queue[i];
    if (run.priority != own.priority) {
      queued[run.priority] += run.demand.cpu;
    } else if (i <= aIndex) {
      needed += run.demand.cpu;
    }
  }
  bool isGuaranteed = !IsLatePriority(own.priority) &&
                      occupied.at(own.priority) + needed <= guarantee;
  for (const auto& [priority, cpu] : queued) {
    auto left =
      IsLatePriority(priority)
        ? 0
        : std::max<std::int64_t>(guarantee - occupied.at(priority), 0);
    auto guaranteed = std::min(cpu, left);
    bool isMoreUrgent = priority < own.priority;
    if (isGuaranteed) {
      needed += isMoreUrgent ? guaranteed : 0;
    } else {
      needed += isMoreUrgent ? cpu : guaranteed;
    }
  }
  return needed;
}

}
