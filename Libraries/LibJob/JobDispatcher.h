#ifndef Libraries_LibJob_JobDispatcher_h
#define Libraries_LibJob_JobDispatcher_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/AdmissionPolicy.h"
#include "LibJob/CancelledJobMemory.h"
#include "LibJob/ControlView.h"
#include "LibJob/DrainRate.h"
#include "LibJob/Job.h"
#include "LibJob/JobDispatcherPort.h"
#include "LibJob/LostRunnerCounts.h"
#include "LibJob/Placement.h"
#include "LibJob/StartedJobs.h"
#include "LibJob/UpstreamView.h"
#include "LibProtocol/CancelledJobs.h"
#include "LibProtocol/RunReport.h"
#include "LibProtocol/RunResume.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace vanillaworks::job {

struct JobDispatcherLimits
{
  /**
   * Time after the loss of an agent at which none of its runs can still be
   * active. It covers the time that runs may go on without contact with their
   * entry, and the runner's lease.
   */
  Milliseconds lostAgentTimeout{ 1300 };
  /** How long an answer is kept for a caller that submits the job again. */
  Milliseconds answerRetention{ 5000 };
  /**
   * Time for agents to connect to a new process; jobs wait for their first
   * worker meanwhile.
   */
  Milliseconds warmUp{ 1000 };
  /** Reserved before the deadline for the answer to reach the caller. */
  Milliseconds deadlineMargin{ 30 };
  /** How many times as long a task takes on a worker far from its data. */
  double remoteDataFactor = 1.5;
  AdmissionKind admission = AdmissionKind::ByGoal;
  /** For AdmissionKind::ByPriority; see PriorityAdmission. */
  double guaranteedShare = 0.5;
  std::size_t maxJobs = 20'000;
  /** Cancelled jobs that are remembered, so that none of them starts again. */
  std::size_t maxCancelledJobs = 20'000;
};

/**
 * Decides for an entry about jobs that are not persisted: rejects or places
 * them, tracks their tasks and answers their callers. Not thread safe; it is
 * called on one thread. The current time is passed in, and all effects go
 * through the port.
 */
class JobDispatcher
{
public:
  JobDispatcher(JobDispatcherLimits aLimits,
                const ControlView& aControl,
                std::uint64_t aSeed,
                JobDispatcherPort& aPort);

  /** Starts the warm-up time of a new process, in which agents connect. */
  void BeginWarmUp(MonotonicTime aNow);
  /**
   * Accepts a job. The waiter is answered through the port, possibly before
   * this call returns. Nothing is started for a caller that has disconnected.
   */
  void Submit(JobRequest aRequest, WaiterId aWaiter, MonotonicTime aNow);
  /** Handles a disconnected caller; the runs of its job are stopped. */
  void OnWaiterDisconnected(const SubmissionId& aJob, WaiterId aWaiter);
  /**
   * Cancels the job for good, at the other entries too. Returns false if it is
   * not served by this entry.
   */
  bool Cancel(const SubmissionId& aJob, MonotonicTime aNow);
  /** Whether this entry currently serves the job. */
  bool IsServing(const SubmissionId& aJob) const;
  /**
   * Whether a task of the job has run, or may have run or still run through
   * this entry; such a job must not be rejected.
   */
  bool MayRun(const SubmissionId& aJob) const
  {
    return IsServing(aJob) || MayHaveStarted(aJob);
  }
  /** Number of accepted jobs of the route with no task ordered yet. */
  std::size_t Pending(const std::string& aRouteName) const;

  /**
   * Handles a new link to an agent. Returns the runs that this entry still
   * awaits there; they must be sent to the agent first, in a RunResume.
   */
  std::vector<protocol::RunCancel> OnAgentUp(
    const protocol::UpstreamStatus& aStatus,
    MonotonicTime aNow);
  /**
   * Called after the RunResume was sent; sends cancels that the agent missed.
   */
  void OnAgentResumed(const UpstreamId& aUpstream);
  void OnAgentDown(const UpstreamId& aUpstream, MonotonicTime aNow);
  void OnAgentHeard(const UpstreamId& aUpstream, MonotonicTime aNow);
  void OnStatus(const protocol::UpstreamStatus& aStatus, MonotonicTime aNow);
  /** Handles a loss of the upstream's runner, also with other entries' runs. */
  void OnLostRuns(const UpstreamId& aUpstream,
                  const protocol::LostRuns& aLost,
                  MonotonicTime aNow);
  /** Handles jobs that were cancelled at another entry. */
  void OnCancelledElsewhere(const protocol::CancelledJobs& aCancelled,
                            MonotonicTime aNow);
  void OnReport(const UpstreamId& aUpstream,
                const protocol::RunReport& aReport,
                MonotonicTime aNow);

  /**
   * Called at shutdown: answers all waiting callers and stops outstanding
   * tasks.
   */
  void AbandonAll(MonotonicTime aNow);

  /** Must be called about every 25 ms. */
  void OnTick(MonotonicTime aNow);
  /** Called in response to JobDispatcherPort::ScheduleWake(). */
  void OnWake(MonotonicTime aNow);

  /** Whether some upstream accepts orders and its failure domain is open. */
  bool HasUsableUpstream(MonotonicTime aNow) const;
  /** Whether no caller waits for a job. */
  bool IsIdle() const;
  const Placement::Views& Upstreams() const { return views_; }
  bool HasOutstanding(const UpstreamId& aUpstream) const;

private:
  using Jobs_ = std::unordered_map<SubmissionId, Job>;
  struct Answered
  {
    JobAnswer answer;
    MonotonicTime expires;
  };

  /** Whether a task of the job has run or may have run. */
  bool MayHaveStarted(const SubmissionId& aJob) const;
  /** Returns false if no caller of this entry waits for the job. */
  bool FinishCancelled(const SubmissionId& aJob, MonotonicTime aNow);
  /** Tells some agents which jobs were cancelled here; they tell all entries.
   */
  void AnnounceCancelledJobs(MonotonicTime aNow);
  void Reattach(Job& aJob, WaiterId aWaiter, MonotonicTime aNow);
  /** Places waiting tasks and answers the job if it is over. May erase aJob. */
  void Advance(Job& aJob, MonotonicTime aNow);
  /** Why the job has failed for good; None if it has not. */
  JobReason FinalFailure(const Job& aJob) const;
  /** Whether the caller still waits, as of a moment ago at most. */
  bool HasCaller(Job& aJob, MonotonicTime aNow);
  /** Stops the runs of a job that no caller waits for. May erase aJob. */
  void Abandon(Job& aJob);
  bool PlaceWaiting(Job& aJob, MonotonicTime aNow);
  void SendOrders(Job& aJob,
                  const std::map<UpstreamId, std::vector<std::uint32_t>>& aPlan,
                  const std::map<UpstreamId, Milliseconds>& aStartWithin);
  void OnPlacementFailed(Job& aJob, MonotonicTime aNow);
  /** Whether a rejection now would leave the caller time to try elsewhere. */
  static bool IsWithinWaitLimit(const Job& aJob, MonotonicTime aNow);
  void WaitForCapacity(Job& aJob);
  /** Whether a job without a worker is likely to get one if it waits. */
  bool MayWait(const Job& aJob, MonotonicTime aNow) const;
  /**
   * Whether the job is expected to get capacity within its wait limit, by the
   * completion rate and the tasks queued ahead of it.
   */
  bool ExpectsCapacityInTime(const Job& aJob, MonotonicTime aNow) const;
  /**
   * Retries the placement of waiting jobs, and answers jobs that are past their
   * deadline.
   */
  void RetryWaitingJobs(MonotonicTime aNow);
  void OnEnd(Job& aJob,
             const UpstreamId& aUpstream,
             const protocol::RunEnd& aEnd,
             MonotonicTime aNow);
  /** Cancels outstanding tasks; the job is kept until their end is certain. */
  void CancelOutstanding(Job& aJob, protocol::CancelScope aScope);
  void Finish(Job& aJob, JobAnswer aAnswer, MonotonicTime aNow);
  /** Records that a task of the job has run or may have run. */
  void MarkStarted(Job& aJob, MonotonicTime aNow);
  void ReleaseTask(Job& aJob, JobTask& aTask);
  void Erase(const SubmissionId& aJob);
  void ExpireUnknown(Job& aJob, MonotonicTime aNow);

  JobDispatcherLimits limits_;
  const ControlView& control_;
  JobDispatcherPort& port_;
  Placement placement_;
  Placement::Views views_;
  std::unique_ptr<AdmissionPolicy> admission_;
  Jobs_ jobs_;
  /** Jobs that wait in this process for capacity. */
  std::unordered_set<SubmissionId> waitingJobs_;
  bool isWakeScheduled_ = false;
  DrainRate drainRate_;
  LostRunnerCounts lostRunners_;
  MonotonicTime warmUpUntil_;
  MonotonicTime lastRetryAt_;
  std::unordered_map<SubmissionId, Answered> answered_;
  StartedJobs startedJobs_;
  CancelledJobMemory cancelledJobs_;
  std::vector<SubmissionId> unannouncedJobs_;
  MonotonicTime announcedAt_;
  /** The agent that told other entries of cancelled jobs last. */
  UpstreamId lastRelay_;
};

}

#endif
