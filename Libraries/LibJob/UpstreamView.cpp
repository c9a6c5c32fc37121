#include "LibJob/UpstreamView.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** An agent sends something at least every 300 ms while it has work. */
constexpr Milliseconds kUsableWithin{ 900 };
constexpr std::int64_t kPermille = 1000;
}

void
UpstreamView::OnLinked(MonotonicTime aNow)
{
  linked_ = true;
  heardAt_ = aNow;
  lastSequence_ = 0;
  unseen_.clear();
}

void
UpstreamView::OnStatus(protocol::UpstreamStatus aStatus, MonotonicTime aNow)
{
  heardAt_ = aNow;
  status_ = std::move(aStatus);
  while (!unseen_.empty() && unseen_.front().sequence <= status_.ordersSeen) {
    unseen_.pop_front();
  }
}

void
UpstreamView::OnOrdered(const Room& aRoom, Milliseconds aEstimate)
{
  ++lastSequence_;
  unseen_.push_back(
    { lastSequence_, aRoom, aRoom.cpu * RunTime(aEstimate).count() });
}

void
UpstreamView::TakeBack(std::size_t aTasks)
{
  unseen_.resize(unseen_.size() - aTasks);
  lastSequence_ -= aTasks;
}

bool
UpstreamView::IsUsable(MonotonicTime aNow) const
{
  return linked_ && status_.accepting && aNow - heardAt_ < kUsableWithin;
}

Room
UpstreamView::Free() const
{
  Room free{ status_.cpuFree, status_.memoryFree, status_.acceleratorsFree };
  for (const auto& order : unseen_) {
    free -= order.room;
  }
  return free;
}

Milliseconds
UpstreamView::StartIn(const Room& aRoom) const
{
  if (Free().Fits(aRoom)) {
    return Milliseconds{ 0 };
  }
  std::int64_t work = 0;
  for (const auto& order : unseen_) {
    work += order.work;
  }
  auto behind = work / std::max<std::int64_t>(status_.cpu, 1);
  return Milliseconds(std::max<std::int64_t>(status_.startInMs, 1) + behind);
}

Milliseconds
UpstreamView::RunTime(Milliseconds aEstimate) const
{
  return aEstimate * status_.slownessPermille / kPermille;
}

bool
UpstreamView::CouldEverHold(const Room& aRoom) const
{
  return Room{ status_.cpu, status_.memory, status_.accelerators }.Fits(aRoom);
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
