#include "LibDispatch/FailureStreak.h"

#include <algorithm>

namespace vanillaworks::dispatch {

void
FailureStreak::OnSuccess()
{
  failed_.clear();
  setAside_ = false;
  pause_ = kFirstPause;
}

void
FailureStreak::OnFailure(const SubmissionId& aSubmission, MonotonicTime aNow)
{
  if (setAside_) {
    pause_ = std::min(pause_ * 2, kLongestPause);
    nextTrial_ = aNow + pause_;
    return;
  }
  failed_.insert(aSubmission);
  if (failed_.size() < kSubmissionsToSetAside) {
    return;
  }
  setAside_ = true;
  nextTrial_ = aNow + pause_;
}

bool
FailureStreak::TakeTrial(MonotonicTime aNow)
{
  if (aNow < nextTrial_) {
    return false;
  }
  nextTrial_ = aNow + pause_;
  return true;
}

}
