#include "LibJob/CancelledJobMemory.h"

namespace vanillaworks::job {

namespace {
/** As long as the platform keeps the state of a job readable. */
constexpr std::chrono::seconds kRetention{ 120 };
}

bool
CancelledJobMemory::Add(const SubmissionId& aJob, MonotonicTime aNow)
{
  if (!jobs_.insert(aJob).second) {
    return false;
  }
  order_.push_back({ aJob, aNow + kRetention });
  if (order_.size() > maxJobs_) {
    DropOldest();
  }
  return true;
}

std::vector<SubmissionId>
CancelledJobMemory::All() const
{
  std::vector<SubmissionId> all;
  all.reserve(order_.size());
  for (const auto& cancelled : order_) {
    all.push_back(cancelled.job);
  }
  return all;
}

void
CancelledJobMemory::OnTick(MonotonicTime aNow)
{
  while (!order_.empty() && order_.front().expires <= aNow) {
    DropOldest();
  }
}

void
CancelledJobMemory::DropOldest()
{
  jobs_.erase(order_.front().job);
  order_.pop_front();
}

}
