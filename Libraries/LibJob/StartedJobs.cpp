#include "LibJob/StartedJobs.h"

#include <utility>

namespace vanillaworks::job {

namespace {
/** A job is remembered for this time at least, twice as long at most. */
constexpr std::chrono::seconds kGeneration{ 30 };
constexpr std::size_t kMaxJobsOfGeneration = 50'000;
}

void
StartedJobs::Add(const SubmissionId& aJob, MonotonicTime aNow)
{
  bool isOver = aNow - recentSince_ >= kGeneration ||
                recent_.size() >= kMaxJobsOfGeneration;
  if (isOver) {
    former_ = std::exchange(recent_, {});
    recentSince_ = aNow;
  }
  recent_.insert(aJob);
}

}
