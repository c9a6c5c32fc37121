#include "LibDispatch/CircuitBreaker.h"

#include <algorithm>

namespace vanillaworks::dispatch {

void
CircuitBreaker::OnSuccess()
{
  failed_.clear();
  setAside_ = false;
  pause_ = kInitialPause;
}

void
CircuitBreaker::OnFailure(const SubmissionId& aSubmission, MonotonicTime aNow)
{
  if (setAside_) {
    pause_ = std::min(pause_ * 2, kMaxPause);
    nextProbe_ = aNow + pause_;
    return;
  }
  failed_.insert(aSubmission);
  if (failed_.size() < kFailedSubmissionsToSetAside) {
    return;
  }
  setAside_ = true;
  nextProbe_ = aNow + pause_;
}

bool
CircuitBreaker::TryAcquireProbe(MonotonicTime aNow)
{
  if (aNow < nextProbe_) {
    return false;
  }
  nextProbe_ = aNow + pause_;
  return true;
}

}
