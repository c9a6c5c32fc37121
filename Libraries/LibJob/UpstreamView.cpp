#include "LibJob/UpstreamView.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/**
 * Contact with an agent counts as lost after this time without any frame; an
 * agent sends something at least every 300 ms while it has work.
 */
constexpr Milliseconds kContactTimeout{ 900 };
constexpr std::int64_t kPermille = 1000;
}

void
UpstreamView::OnLinked(MonotonicTime aNow)
{
  isLinked_ = true;
  heardAt_ = aNow;
  lastSequence_ = 0;
  unacknowledged_.clear();
}

void
UpstreamView::OnStatus(protocol::UpstreamStatus aStatus, MonotonicTime aNow)
{
  heardAt_ = aNow;
  status_ = std::move(aStatus);
  while (!unacknowledged_.empty() &&
         unacknowledged_.front().sequence <= status_.ordersSeen) {
    unacknowledged_.pop_front();
  }
}

void
UpstreamView::OnOrdered(const Resources& aDemand, Milliseconds aEstimate)
{
  ++lastSequence_;
  unacknowledged_.push_back(
    { lastSequence_, aDemand, aDemand.cpu * RunTime(aEstimate).count() });
}

void
UpstreamView::RevertOrders(std::size_t aTasks)
{
  unacknowledged_.resize(unacknowledged_.size() - aTasks);
  lastSequence_ -= aTasks;
}

bool
UpstreamView::IsUsable(MonotonicTime aNow) const
{
  return isLinked_ && status_.accepting && aNow - heardAt_ < kContactTimeout;
}

Resources
UpstreamView::FreeResources() const
{
  Resources free{ status_.cpuFree,
                  status_.memoryFree,
                  status_.acceleratorsFree };
  for (const auto& order : unacknowledged_) {
    free -= order.demand;
  }
  return free;
}

Milliseconds
UpstreamView::EstimateStartDelay(const Resources& aDemand) const
{
  if (FreeResources().Fits(aDemand)) {
    return Milliseconds{ 0 };
  }
  std::int64_t cpuWork = 0;
  for (const auto& order : unacknowledged_) {
    cpuWork += order.cpuWork;
  }
  auto backlogMs = cpuWork / std::max<std::int64_t>(status_.cpu, 1);
  return Milliseconds(std::max<std::int64_t>(status_.startInMs, 1) + backlogMs);
}

Milliseconds
UpstreamView::RunTime(Milliseconds aEstimate) const
{
  return aEstimate * status_.slownessPermille / kPermille;
}

bool
UpstreamView::CanEverFit(const Resources& aDemand) const
{
  return Resources{ status_.cpu, status_.memory, status_.accelerators }.Fits(
    aDemand);
}

void
UpstreamView::Forget(const SubmissionId& aJob, const protocol::RunTask& aTask)
{
  auto found = outstanding_.find(aJob);
  if (found == outstanding_.end()) {
    return;
  }
  found->second.erase(aTask);
  if (found->second.empty()) {
    outstanding_.erase(found);
  }
}

}
