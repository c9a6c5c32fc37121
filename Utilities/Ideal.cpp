#include "Utilities/Ideal.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace vanillaworks::measure {

namespace {
double
StartOn(const IdealUpstream& aUpstream, double aFrom)
{
  bool isClosed = aFrom >= aUpstream.closedFrom && aFrom < aUpstream.closedTo;
  return isClosed ? aUpstream.closedTo : aFrom;
}

/** A task that waits: smaller submissions first, then earlier ones. */
struct WaitingTask
{
  double submissionWork;
  std::size_t arrival;
  std::size_t task;
  friend auto operator<=>(const WaitingTask&, const WaitingTask&) = default;
};

class IdealQueue
{
public:
  IdealQueue(const std::vector<Arrival>& aTrace,
             const std::vector<IdealUpstream>& aUpstreams,
             double aDelay,
             double aUntil)
    : trace_(aTrace)
    , upstreams_(aUpstreams)
    , delay_(aDelay)
    , until_(aUntil)
  {
    for (const auto& upstream : upstreams_) {
      free_.emplace_back(upstream.slots, 0.0);
    }
    for (const auto& arrival : trace_) {
      outcome_.ends.push_back(arrival.at);
      events_.insert(arrival.at + delay_);
    }
  }

  IdealOutcome Run()
  {
    std::size_t next = 0;
    while (!events_.empty()) {
      double now = *events_.begin();
      events_.erase(events_.begin());
      while (next < trace_.size() && trace_[next].at + delay_ <= now) {
        Arrive(next++);
      }
      Place(now);
    }
    return std::move(outcome_);
  }

private:
  void Arrive(std::size_t aArrival)
  {
    const auto& tasks = trace_[aArrival].tasks;
    auto work = std::accumulate(tasks.begin(), tasks.end(), 0.0);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      waiting_.insert({ work, aArrival, i });
    }
  }

  /** Starts what ends first on a slot that is free now; others wait. */
  void Place(double aNow)
  {
    auto planned = free_;
    for (auto task = waiting_.begin();
         task != waiting_.end() && HasFree(planned, aNow);) {
      auto time = trace_[task->arrival].tasks[task->task];
      auto [end, upstream, slot] = EarliestEnd(planned, aNow, time);
      bool startsNow = planned[upstream][slot] <= aNow &&
                       StartOn(upstreams_[upstream], aNow) == aNow;
      planned[upstream][slot] = end;
      if (!startsNow) {
        ++task;
        continue;
      }
      free_[upstream][slot] = end;
      events_.insert(end);
      auto& submissionEnd = outcome_.ends[task->arrival];
      submissionEnd = std::max(submissionEnd, end + delay_);
      outcome_.workDone += end <= until_ ? time : 0;
      task = waiting_.erase(task);
    }
    for (const auto& upstream : upstreams_) {
      if (!waiting_.empty() && StartOn(upstream, aNow) > aNow) {
        events_.insert(upstream.closedTo);
      }
    }
  }

  using Slots = std::vector<std::vector<double>>;

  bool HasFree(const Slots& aSlots, double aNow) const
  {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      bool isFree =
        StartOn(upstreams_[i], aNow) == aNow &&
        *std::min_element(aSlots[i].begin(), aSlots[i].end()) <= aNow;
      if (isFree) {
        return true;
      }
    }
    return false;
  }

  std::tuple<double, std::size_t, std::size_t> EarliestEnd(const Slots& aSlots,
                                                           double aNow,
                                                           double aTime) const
  {
    std::tuple best{ std::numeric_limits<double>::max(),
                     std::size_t{ 0 },
                     std::size_t{ 0 } };
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      auto slot = std::min_element(aSlots[i].begin(), aSlots[i].end());
      auto start = StartOn(upstreams_[i], std::max(*slot, aNow));
      auto end = start + aTime / upstreams_[i].speed;
      if (end < std::get<0>(best)) {
        best = { end, i, static_cast<std::size_t>(slot - aSlots[i].begin()) };
      }
    }
    return best;
  }

  const std::vector<Arrival>& trace_;
  const std::vector<IdealUpstream>& upstreams_;
  double delay_;
  double until_;
  Slots free_;
  std::set<double> events_;
  std::set<WaitingTask> waiting_;
  IdealOutcome outcome_;
};
}

IdealOutcome
RunIdeal(const std::vector<Arrival>& aTrace,
         const std::vector<IdealUpstream>& aUpstreams,
         double aDelay,
         double aUntil)
{
  return IdealQueue(aTrace, aUpstreams, aDelay, aUntil).Run();
}

}
