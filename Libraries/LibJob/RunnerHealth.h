#ifndef Libraries_LibJob_RunnerHealth_h
#define Libraries_LibJob_RunnerHealth_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <set>

namespace vanillaworks::job {

/**
 * Tracks a runner's slowness relative to the senders' estimates, and its
 * failures. Detects workers that become slow, fail or get stuck among healthy
 * ones. A job that fails on every worker makes none of them suspect, because
 * failures of several jobs are required. Not thread safe.
 */
class RunnerHealth
{
public:
  void OnDone(Milliseconds aEstimate, Milliseconds aElapsed, MonotonicTime);
  /**
   * Handles progress of an active run that is expected to take aExpected in
   * total.
   */
  void OnProgress(Milliseconds aEstimate,
                  Milliseconds aExpected,
                  MonotonicTime);
  void OnFailed(const SubmissionId& aJob, MonotonicTime aNow);
  void OnStuck(const SubmissionId& aJob, MonotonicTime aNow);
  /**
   * Lets an unusual slowness decay if there are no new samples. Must be called
   * regularly.
   */
  void OnTick(MonotonicTime aNow);
  /**
   * Forgets all samples, because a new incarnation of the runner may be
   * healthy.
   */
  void Reset();
  /**
   * Starts from a slowness that an earlier process or incarnation had learned,
   * in thousandths. It is forgotten if no samples follow. Does nothing if there
   * are samples already.
   */
  void Seed(std::int64_t aSlownessPermille, MonotonicTime aNow);
  /**
   * The slowness over a long time, in thousandths, which temporary trouble
   * hardly changes; 0 until there are enough samples.
   */
  std::int64_t LearnedSlownessPermille() const;

  /** Ratio of measured to estimated run time, in thousandths. */
  std::int64_t SlownessPermille() const;
  /** Whether the runner should get only one run at a time. */
  bool IsSuspect(MonotonicTime aNow) const;

private:
  void AddRatio(double aRatio, double aMinWeight, MonotonicTime aNow);
  void AddFailure(const SubmissionId& aJob, double aWeight, MonotonicTime);

  double slowness_ = 1;
  double typicalSlowness_ = 1;
  std::uint32_t samples_ = 0;
  MonotonicTime sampledAt_;
  double failureShare_ = 0;
  std::set<SubmissionId> failedJobs_;
  MonotonicTime suspectUntil_;
};

}

#endif
