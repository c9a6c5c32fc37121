#ifndef Libraries_LibJob_JobDispatcher_h
#define Libraries_LibJob_JobDispatcher_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/ControlView.h"
#include "LibJob/DrainRate.h"
#include "LibJob/Job.h"
#include "LibJob/JobDispatcherPort.h"
#include "LibJob/Placement.h"
#include "LibJob/UpstreamView.h"
#include "LibProtocol/RunReport.h"
#include "LibProtocol/RunResume.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace vanillaworks::job {

struct JobDispatcherLimits
{
  /**
   * From the loss of an agent until nothing that it was given can run: the
   * bound on its runs without an entry's word, and the runner's lease.
   */
  Milliseconds lostAgent{ 1300 };
  /** How long an answer is kept for a caller that asks again. */
  Milliseconds answerRetention{ 5000 };
  /** While agents dial a new process, jobs wait for their first worker. */
  Milliseconds warmUp{ 1000 };
  /** Kept before the deadline, for the answer to reach the caller. */
  Milliseconds deadlineMargin{ 30 };
  std::size_t maxJobs = 20'000;
};

/**
 * The decisions of an entry about jobs that need not be kept: rejects or
 * places them, follows their tasks, answers their callers. One thread calls
 * it; time is passed in and all effects go through its port.
 */
class JobDispatcher
{
public:
  JobDispatcher(JobDispatcherLimits aLimits,
                const ControlView& aControl,
                std::uint64_t aSeed,
                JobDispatcherPort& aPort);

  /** The process has just begun; agents are about to link. */
  void BeginWarmUp(MonotonicTime aNow);
  /** The waiter gets its answer through the port, perhaps at once. */
  void Submit(JobRequest aRequest, WaiterId aWaiter, MonotonicTime aNow);
  /** The caller's connection is gone; its runs are stopped. */
  void OnWaiterGone(const SubmissionId& aJob,
                    WaiterId aWaiter,
                    MonotonicTime aNow);
  /** False where no such job is served here. */
  bool Cancel(const SubmissionId& aJob, MonotonicTime aNow);
  /** Whether the job is served here now. */
  bool IsServing(const SubmissionId& aJob) const;
  /** Accepted jobs of the route of which no task was ordered yet. */
  std::size_t Pending(const std::string& aRouteName) const;

  /** A link to the agent is up; what it must be told first is returned. */
  std::vector<protocol::RunCancel> OnAgentUp(
    const protocol::UpstreamStatus& aStatus,
    MonotonicTime aNow);
  /** The agent has been told; cancels that it missed follow. */
  void OnAgentResumed(const UpstreamId& aUpstream);
  void OnAgentDown(const UpstreamId& aUpstream, MonotonicTime aNow);
  void OnAgentHeard(const UpstreamId& aUpstream, MonotonicTime aNow);
  void OnStatus(const protocol::UpstreamStatus& aStatus, MonotonicTime aNow);
  void OnReport(const UpstreamId& aUpstream,
                const protocol::RunReport& aReport,
                MonotonicTime aNow);

  /** The process ends: whoever waits is told so, and what is out stops. */
  void GiveUpAll(MonotonicTime aNow);

  /** Call about every 25 ms. */
  void OnTick(MonotonicTime aNow);
  /** Answers JobDispatcherPort::WakeSoon(). */
  void OnWake(MonotonicTime aNow);

  /** Some upstream takes orders, in a domain that is open. */
  bool HasUsableUpstream(MonotonicTime aNow) const;
  /** Nothing that a caller waits for is left. */
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

  void Reattach(Job& aJob, WaiterId aWaiter, MonotonicTime aNow);
  /** Places what waits and answers what is over; may erase the job. */
  void Advance(Job& aJob, MonotonicTime aNow);
  bool PlaceWaiting(Job& aJob, MonotonicTime aNow);
  void SendOrders(Job& aJob,
                  const std::map<UpstreamId, std::vector<std::uint32_t>>& aPlan,
                  const std::map<UpstreamId, Milliseconds>& aStartWithin);
  void OnNoPlace(Job& aJob, MonotonicTime aNow);
  /** A rejection would still leave its caller time to turn elsewhere. */
  static bool IsEarly(const Job& aJob, MonotonicTime aNow);
  void LetWait(Job& aJob);
  /** Whether a job without a place has a fair chance of one if it waits. */
  bool MayWait(const Job& aJob, MonotonicTime aNow) const;
  /** By the rate at which tasks end, and what waits before it. */
  bool HasRoomInTime(const Job& aJob, MonotonicTime aNow) const;
  /** Places jobs anew that wait for room; those due are answered. */
  void TryWaiting(MonotonicTime aNow);
  void OnEnd(Job& aJob,
             const UpstreamId& aUpstream,
             const protocol::RunEnd& aEnd,
             MonotonicTime aNow);
  /** What is out is cancelled; the job stays until that is certain. */
  void CancelAll(Job& aJob, protocol::CancelScope aScope);
  void Conclude(Job& aJob, JobAnswer aAnswer, MonotonicTime aNow);
  void Release(Job& aJob, JobTask& aTask);
  void Erase(const SubmissionId& aJob);
  void ExpireUnknown(Job& aJob, MonotonicTime aNow);

  JobDispatcherLimits limits_;
  const ControlView& control_;
  JobDispatcherPort& port_;
  Placement placement_;
  Placement::Views views_;
  Jobs_ jobs_;
  /** Jobs that wait here for room. */
  std::unordered_set<SubmissionId> waiting_;
  bool isWakeAsked_ = false;
  DrainRate drainRate_;
  MonotonicTime warmUntil_;
  MonotonicTime triedAt_;
  std::unordered_map<SubmissionId, Answered> answered_;
};

}

#endif
