#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
constexpr std::int64_t kPermille = 1000;
}

Resources
RunSupervisor::FreeResources() const
{
  if (!runner_) {
    return {};
  }
  auto free = runner_->report.capacity;
  for (const auto& [key, run] : runs_) {
    if (run.OccupiesResources()) {
      free -= run.demand;
    }
  }
  return free;
}

Milliseconds
RunSupervisor::EstimateRemaining(const Run& aRun, MonotonicTime aNow) const
{
  constexpr Milliseconds kMinRemaining{ 5 };
  auto elapsed = std::chrono::duration_cast<Milliseconds>(aNow - aRun.calledAt);
  if (aRun.percent >= kMinReliablePercent) {
    auto elapsedAtProgress =
      std::chrono::duration_cast<Milliseconds>(aRun.progressAt - aRun.calledAt);
    auto total = elapsedAtProgress * kFullPercent / aRun.percent;
    return std::max(total - elapsed, kMinRemaining);
  }
  auto total = EstimateRunTime(aRun.estimate);
  if (total > elapsed) {
    return std::max(total - elapsed, kMinRemaining);
  }
  // The estimate was too low; the error is assumed to grow with the elapsed
  // time.
  return std::max(elapsed / 4, kMinRemaining);
}

Milliseconds
RunSupervisor::EstimateRunTime(Milliseconds aEstimate) const
{
  return aEstimate * health_.SlownessPermille() / kPermille;
}

Milliseconds
RunSupervisor::EstimateStartDelay(const Run& aQueued, MonotonicTime aNow) const
{
  auto needed = aQueued.demand.cpu;
  QueueKey own{ aQueued.priority, aQueued.arrival, aQueued.key };
  for (const auto& item : queue_) {
    if (!(item < own)) {
      break;
    }
    needed += runs_.at(std::get<RunKey>(item)).demand.cpu;
  }
  return EstimateTimeUntilFree(needed, aNow);
}

Milliseconds
RunSupervisor::EstimateStartDelayOfNext(MonotonicTime aNow) const
{
  auto needed = averageTaskCpu_;
  for (const auto& item : queue_) {
    needed += runs_.at(std::get<RunKey>(item)).demand.cpu;
  }
  return EstimateTimeUntilFree(needed, aNow);
}

Milliseconds
RunSupervisor::EstimateTimeUntilFree(std::int64_t aCpu,
                                     MonotonicTime aNow) const
{
  auto free = FreeResources().cpu - aCpu;
  if (free >= 0) {
    return Milliseconds{ 0 };
  }
  std::vector<std::pair<Milliseconds, std::int64_t>> ends;
  for (const auto& [key, run] : runs_) {
    auto remaining = EstimateRemaining(run, aNow);
    if (run.OccupiesResources()) {
      ends.emplace_back(remaining, run.demand.cpu);
    }
  }
  std::sort(ends.begin(), ends.end());
  Milliseconds when{ 0 };
  for (const auto& [remaining, cpu] : ends) {
    when = remaining;
    free += cpu;
    if (free >= 0) {
      return when;
    }
  }
  // Queued tasks exceed what active runs will free, so further rounds of the
  // whole capacity are added.
  constexpr std::int64_t kRoundUp = 1;
  auto rounds = -free / std::max<std::int64_t>(
                          runner_ ? runner_->report.capacity.cpu : 1, 1);
  return when * (rounds + kRoundUp + 1);
}

protocol::UpstreamStatus
RunSupervisor::Status(const EntryId& aEntry, MonotonicTime aNow) const
{
  protocol::UpstreamStatus status;
  status.upstream = upstream_;
  status.incarnation = incarnation_;
  auto session = sessions_.find(aEntry);
  if (session != sessions_.end()) {
    status.ordersSeen = session->second.ordersSeen;
  }
  if (!runner_) {
    return status;
  }
  const auto& report = runner_->report;
  status.service = report.service;
  status.domain = report.domain;
  status.labels = report.labels;
  status.cpu = report.capacity.cpu;
  status.memory = report.capacity.memory;
  status.accelerators = report.capacity.accelerators;
  auto free = FreeResources();
  for (const auto& item : queue_) {
    free -= runs_.at(std::get<RunKey>(item)).demand;
  }
  status.cpuFree = free.cpu;
  status.memoryFree = free.memory;
  status.acceleratorsFree = free.accelerators;
  status.startInMs = EstimateStartDelayOfNext(aNow).count();
  status.slownessPermille = health_.SlownessPermille();
  status.accepting = MayStart() && IsRoomKnown(aNow);
  status.suspect = health_.IsSuspect(aNow);
  return status;
}

}
