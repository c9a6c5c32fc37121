#ifndef Libraries_LibDispatch_FailureStreak_h
#define Libraries_LibDispatch_FailureStreak_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <set>

namespace vanillaworks::dispatch {

/**
 * Tells a worker that fails everything from a job that fails everywhere: only
 * failures of several different submissions in a row set the worker aside.
 * After a pause that doubles up to a bound one trial may start. Not thread
 * safe.
 */
class FailureStreak
{
public:
  void OnSuccess();
  void OnFailure(const SubmissionId& aSubmission, MonotonicTime aNow);

  bool IsSetAside() const { return setAside_; }
  /** Whether a trial may start now; it counts as started. */
  bool TakeTrial(MonotonicTime aNow);

private:
  static constexpr std::size_t kSubmissionsToSetAside = 3;
  static constexpr Milliseconds kFirstPause{ 500 };
  static constexpr Milliseconds kLongestPause{ 15'000 };

  std::set<SubmissionId> failed_;
  bool setAside_ = false;
  Milliseconds pause_ = kFirstPause;
  MonotonicTime nextTrial_;
};

}

#endif
