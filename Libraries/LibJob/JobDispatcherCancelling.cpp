#include "LibJob/JobDispatcher.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** Bounds the messages in a wave of cancellations. */
constexpr Milliseconds kAnnounceInterval{ 100 };
/** More than one, since an agent may be lost before it has told the others. */
constexpr std::size_t kRelays = 3;
constexpr std::size_t kMaxAnnouncedJobs = 1000;
}

bool
JobDispatcher::Cancel(const SubmissionId& aJob, MonotonicTime aNow)
{
  // The job may be served by another entry, or its request may arrive later.
  bool isNews = cancelledJobs_.Add(aJob, aNow);
  if (isNews && unannouncedJobs_.size() < limits_.maxCancelledJobs) {
    unannouncedJobs_.push_back(aJob);
  }
  return FinishCancelled(aJob, aNow);
}

void
JobDispatcher::OnCancelledElsewhere(const protocol::CancelledJobs& aCancelled,
                                    MonotonicTime aNow)
{
  for (const auto& job : aCancelled.jobs) {
    if (cancelledJobs_.Add(job, aNow)) {
      FinishCancelled(job, aNow);
    }
  }
}

void
JobDispatcher::AnnounceCancelledJobs(MonotonicTime aNow)
{
  if (unannouncedJobs_.empty() || aNow - announcedAt_ < kAnnounceInterval) {
    return;
  }
  announcedAt_ = aNow;
  auto count = std::min(unannouncedJobs_.size(), kMaxAnnouncedJobs);
  auto end = unannouncedJobs_.begin() + static_cast<std::ptrdiff_t>(count);
  protocol::CancelledJobs announcement{ { unannouncedJobs_.begin(), end } };
  std::size_t told = 0;
  auto next = views_.upper_bound(lastRelay_);
  for (std::size_t i = 0; i < views_.size() && told < kRelays; ++i) {
    next = next == views_.end() ? views_.begin() : next;
    const auto& [upstream, view] = *next++;
    if (view.IsLinked()) {
      port_.SendToAgent(upstream, announcement);
      lastRelay_ = upstream;
      ++told;
    }
  }
  if (told > 0) {
    unannouncedJobs_.erase(unannouncedJobs_.begin(), end);
  }
}

bool
JobDispatcher::FinishCancelled(const SubmissionId& aJob, MonotonicTime aNow)
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end() || found->second.intent == JobIntent::Abandon) {
    return false;
  }
  Finish(found->second, { JobState::Cancelled, JobReason::ByCaller, {} }, aNow);
  return true;
}

void
JobDispatcher::CancelOutstanding(Job& aJob, protocol::CancelScope aScope)
{
  std::map<UpstreamId, std::vector<protocol::RunTask>> outstanding;
  for (std::uint32_t i = 0; i < aJob.tasks.size(); ++i) {
    const auto& task = aJob.tasks[i];
    if (task.state == TaskState::Ordered) {
      outstanding[task.upstream].push_back({ i, task.run });
    }
  }
  for (auto& [upstream, tasks] : outstanding) {
    port_.SendToAgent(
      upstream,
      protocol::RunCancel{ aJob.request.id, std::move(tasks), aScope });
  }
}

}
