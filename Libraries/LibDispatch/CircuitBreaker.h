#ifndef Libraries_LibDispatch_CircuitBreaker_h
#define Libraries_LibDispatch_CircuitBreaker_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <set>

namespace vanillaworks::dispatch {

/**
 * Stops starts on a worker that fails all tasks. To distinguish it from a job
 * that fails on every worker, the breaker sets the worker aside only after
 * failures of several different submissions with no success in between. Then
 * one probe may start after each pause; the pause doubles with each failure up
 * to a bound. Not thread safe.
 */
class CircuitBreaker
{
public:
  void OnSuccess();
  void OnFailure(const SubmissionId& aSubmission, MonotonicTime aNow);

  bool IsSetAside() const { return setAside_; }
  /**
   * Returns whether a probe may start now. If so, the probe counts as started
   * and the next one is due after another pause.
   */
  bool TryAcquireProbe(MonotonicTime aNow);

private:
  static constexpr std::size_t kFailedSubmissionsToSetAside = 3;
  static constexpr Milliseconds kInitialPause{ 500 };
  static constexpr Milliseconds kMaxPause{ 15'000 };

  std::set<SubmissionId> failed_;
  bool setAside_ = false;
  Milliseconds pause_ = kInitialPause;
  MonotonicTime nextProbe_;
};

}

#endif
