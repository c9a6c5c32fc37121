#ifndef Libraries_LibJob_UpstreamView_h
#define Libraries_LibJob_UpstreamView_h

#include "LibCore/Time.h"
#include "LibJob/Resources.h"
#include "LibProtocol/RunTask.h"
#include "LibProtocol/UpstreamStatus.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace vanillaworks::job {

/**
 * An entry's view of one upstream: the agent's latest status minus the orders
 * that this status does not include yet. Not thread safe.
 */
class UpstreamView
{
public:
  void OnLinked(MonotonicTime aNow);
  void OnUnlinked() { isLinked_ = false; }
  void OnStatus(protocol::UpstreamStatus aStatus, MonotonicTime aNow);
  void OnHeard(MonotonicTime aNow) { heardAt_ = aNow; }

  /** Records a task that is sent to the agent. */
  void OnOrdered(const Resources& aDemand, Milliseconds aEstimate);
  /**
   * Reverts the latest aTasks calls of OnOrdered() for tasks that were not
   * sent.
   */
  void RevertOrders(std::size_t aTasks);
  /** Number of tasks ordered on the current link. */
  std::uint64_t LastSequence() const { return lastSequence_; }

  bool IsLinked() const { return isLinked_; }
  MonotonicTime HeardAt() const { return heardAt_; }
  /** Whether the upstream accepts orders and was heard from recently. */
  bool IsUsable(MonotonicTime aNow) const;
  const protocol::UpstreamStatus& Status() const { return status_; }

  Resources FreeResources() const;
  /** Expected time until a task that needs aDemand could start. */
  Milliseconds EstimateStartDelay(const Resources& aDemand) const;
  /** Expected run time here of a task whose estimate is aEstimate. */
  Milliseconds RunTime(Milliseconds aEstimate) const;
  bool CanEverFit(const Resources& aDemand) const;

  /** Runs that this entry ordered here and whose end is not reported yet. */
  using OutstandingRuns = std::map<SubmissionId, std::set<protocol::RunTask>>;
  OutstandingRuns& Outstanding() { return outstanding_; }
  const OutstandingRuns& Outstanding() const { return outstanding_; }
  void Forget(const SubmissionId& aJob, const protocol::RunTask& aTask);

private:
  struct UnacknowledgedTask
  {
    std::uint64_t sequence;
    Resources demand;
    /** Expected processor time, in thousandths of a core times ms. */
    std::int64_t cpuWork;
  };

  protocol::UpstreamStatus status_;
  bool isLinked_ = false;
  MonotonicTime heardAt_;
  std::uint64_t lastSequence_ = 0;
  std::deque<UnacknowledgedTask> unacknowledged_;
  OutstandingRuns outstanding_;
};

}

#endif
