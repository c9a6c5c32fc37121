#include "Utilities/IdealScheduler.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace vanillaworks::measure {

namespace {
double
EarliestStart(const IdealUpstream& aUpstream, double aFrom)
{
  bool isClosed =
    aFrom >= aUpstream.closedFromMs && aFrom < aUpstream.closedUntilMs;
  return isClosed ? aUpstream.closedUntilMs : aFrom;
}

/** Orders waiting tasks by the work of their submission, then by arrival. */
struct WaitingTask
{
  double submissionWorkMs;
  std::size_t arrival;
  std::size_t task;
  friend auto operator<=>(const WaitingTask&, const WaitingTask&) = default;
};

class IdealScheduler
{
public:
  IdealScheduler(const std::vector<Arrival>& aTrace,
                 const std::vector<IdealUpstream>& aUpstreams,
                 double aOneWayDelayMs,
                 double aEndMs)
    : trace_(aTrace)
    , upstreams_(aUpstreams)
    , oneWayDelayMs_(aOneWayDelayMs)
    , endMs_(aEndMs)
  {
    for (const auto& upstream : upstreams_) {
      slotsFreeAt_.emplace_back(upstream.slots, 0.0);
    }
    for (const auto& arrival : trace_) {
      result_.endsMs.push_back(arrival.atMs);
      eventTimes_.insert(arrival.atMs + oneWayDelayMs_);
    }
  }

  IdealResult Simulate()
  {
    std::size_t next = 0;
    while (!eventTimes_.empty()) {
      double now = *eventTimes_.begin();
      eventTimes_.erase(eventTimes_.begin());
      while (next < trace_.size() &&
             trace_[next].atMs + oneWayDelayMs_ <= now) {
        Enqueue(next++);
      }
      StartTasks(now);
    }
    return std::move(result_);
  }

private:
  void Enqueue(std::size_t aArrival)
  {
    const auto& taskTimesMs = trace_[aArrival].taskTimesMs;
    auto workMs = std::accumulate(taskTimesMs.begin(), taskTimesMs.end(), 0.0);
    for (std::size_t i = 0; i < taskTimesMs.size(); ++i) {
      waitingTasks_.insert({ workMs, aArrival, i });
    }
  }

  /**
   * Starts each task whose earliest end is on a slot that is free now. Other
   * tasks reserve the slot on which they end first and keep waiting.
   */
  void StartTasks(double aNowMs)
  {
    auto reservedUntil = slotsFreeAt_;
    for (auto task = waitingTasks_.begin();
         task != waitingTasks_.end() && HasFreeSlot(reservedUntil, aNowMs);) {
      auto time = trace_[task->arrival].taskTimesMs[task->task];
      auto [end, upstream, slot] = FindEarliestEnd(reservedUntil, aNowMs, time);
      bool startsNow = reservedUntil[upstream][slot] <= aNowMs &&
                       EarliestStart(upstreams_[upstream], aNowMs) == aNowMs;
      reservedUntil[upstream][slot] = end;
      if (!startsNow) {
        ++task;
        continue;
      }
      slotsFreeAt_[upstream][slot] = end;
      eventTimes_.insert(end);
      auto& submissionEnd = result_.endsMs[task->arrival];
      submissionEnd = std::max(submissionEnd, end + oneWayDelayMs_);
      result_.workDoneMs += end <= endMs_ ? time : 0;
      task = waitingTasks_.erase(task);
    }
    for (const auto& upstream : upstreams_) {
      if (!waitingTasks_.empty() && EarliestStart(upstream, aNowMs) > aNowMs) {
        eventTimes_.insert(upstream.closedUntilMs);
      }
    }
  }

  using SlotTimes = std::vector<std::vector<double>>;

  bool HasFreeSlot(const SlotTimes& aSlotTimes, double aNowMs) const
  {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      bool isFree =
        EarliestStart(upstreams_[i], aNowMs) == aNowMs &&
        *std::min_element(aSlotTimes[i].begin(), aSlotTimes[i].end()) <= aNowMs;
      if (isFree) {
        return true;
      }
    }
    return false;
  }

  std::tuple<double, std::size_t, std::size_t> FindEarliestEnd(
    const SlotTimes& aSlotTimes,
    double aNowMs,
    double aTimeMs) const
  {
    std::tuple best{ std::numeric_limits<double>::max(),
                     std::size_t{ 0 },
                     std::size_t{ 0 } };
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      auto slot = std::min_element(aSlotTimes[i].begin(), aSlotTimes[i].end());
      auto start = EarliestStart(upstreams_[i], std::max(*slot, aNowMs));
      auto end = start + aTimeMs / upstreams_[i].speed;
      if (end < std::get<0>(best)) {
        best = { end,
                 i,
                 static_cast<std::size_t>(slot - aSlotTimes[i].begin()) };
      }
    }
    return best;
  }

  const std::vector<Arrival>& trace_;
  const std::vector<IdealUpstream>& upstreams_;
  double oneWayDelayMs_;
  /** Work that ends later does not count as done. */
  double endMs_;
  /** When each slot of each upstream is free, in milliseconds. */
  SlotTimes slotsFreeAt_;
  std::set<double> eventTimes_;
  std::set<WaitingTask> waitingTasks_;
  IdealResult result_;
};
}

IdealResult
SimulateIdealScheduler(const std::vector<Arrival>& aTrace,
                       const std::vector<IdealUpstream>& aUpstreams,
                       double aOneWayDelayMs,
                       double aEndMs)
{
  return IdealScheduler(aTrace, aUpstreams, aOneWayDelayMs, aEndMs).Simulate();
}

}
