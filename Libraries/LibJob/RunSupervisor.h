#ifndef Libraries_LibJob_RunSupervisor_h
#define Libraries_LibJob_RunSupervisor_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/ControlView.h"
#include "LibJob/FirstFitPolicy.h"
#include "LibJob/ResponseTimeEstimator.h"
#include "LibJob/Run.h"
#include "LibJob/RunSupervisorPort.h"
#include "LibJob/RunnerDeparture.h"
#include "LibJob/RunnerHealth.h"
#include "LibJob/RunnerIncarnation.h"
#include "LibJob/RunnerReport.h"
#include "LibJob/RunnerVerification.h"
#include "LibProtocol/RunOrder.h"
#include "LibProtocol/RunReport.h"
#include "LibProtocol/RunResume.h"
#include "LibProtocol/UpstreamStatus.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace vanillaworks::job {

/** When a runner's announcement that it shuts down may be answered. */
enum class AnnouncementAnswer : std::uint8_t
{
  Now,
  /** At RunSupervisorPort::OnRunnerReleased(). */
  WhenReleased
};

struct RunSupervisorLimits
{
  /**
   * How long runs may go on after the last contact with their entry. Must be
   * shorter than the time after which a caller without an answer tries another
   * entry.
   */
  Milliseconds entryTimeout{ 1000 };
  /**
   * Lease that is requested from the runner, at most the runner's maximum, and
   * how slow the runner's clock may be (0.02: 2%).
   */
  Milliseconds lease{ 1000 };
  /** Longest lease that the runner grants, whatever is requested. */
  Milliseconds grantedLease{ 1000 };
  double maxClockDrift = 0.02;
  /**
   * No lease is requested beyond this time after the last contact with the
   * entry of a run, by the runner's clock.
   */
  Milliseconds contactLease{ 1230 };
  /** The same, after the entry has cancelled a run. */
  Milliseconds cancelLease{ 700 };
  /** How long a hold call waits at the runner for a run to end. */
  Milliseconds holdWait{ 50 };
  /** A run without progress for this time counts as stuck. */
  Milliseconds stuckTimeout{ 200 };
  /** How long an end is kept after each report of it to its entry. */
  Milliseconds endRetention{ 6000 };
  /**
   * Nothing is started by a report of the runner that is older than this, since
   * the room there may have shrunk. Must be shorter than the time for which the
   * former room still counts (contactMs and one heartbeat), by the time that a
   * start call takes.
   */
  Milliseconds maxReportAge{ 4000 };
  std::size_t maxQueue = 512;
  /** The order in which queued runs start; not null. */
  std::shared_ptr<const StartPolicy> startPolicy =
    std::make_shared<FirstFitPolicy>();
};

/**
 * Decides for an agent about its runner, as the last check before a start.
 * Keeps the runner's free resources, lease and fencing token and a short
 * priority queue, and tracks each run until its end is certain. Not thread
 * safe. The current time is passed in, and all effects go through the port.
 */
class RunSupervisor
{
public:
  RunSupervisor(UpstreamId aUpstream,
                Incarnation aIncarnation,
                RunSupervisorLimits aLimits,
                const ControlView& aControl,
                RunSupervisorPort& aPort);

  /**
   * Handles a runner's report. It may also be one that an earlier process of
   * the agent saved in the store.
   */
  void OnRunnerReport(const RunnerReport& aReport, MonotonicTime aNow);
  /**
   * Handles the runner's announcement that it shuts down, which it does at once
   * when it is answered, or later without an answer. Stops its runs. Returns
   * when the announcement may be answered. aStartedMs: the start time in the
   * announcement, if it has one; that of another incarnation changes nothing.
   */
  AnnouncementAnswer OnRunnerLeaving(const std::string& aRunner,
                                     std::optional<std::int64_t> aStartedMs,
                                     MonotonicTime aNow);

  void OnStartAnswered(const RunKey& aKey,
                       std::uint64_t aToken,
                       StartResult aResult,
                       MonotonicTime aNow);
  void OnStopAnswered(const RunKey& aKey,
                      std::uint64_t aToken,
                      StopResult aResult,
                      MonotonicTime aNow);
  void OnHoldAnswered(std::uint64_t aNumber,
                      const HoldAnswer& aAnswer,
                      MonotonicTime aNow);

  /**
   * Confirms contact with aEntry. aSentAt: the latest send time of this agent
   * that the entry has echoed.
   */
  void OnRevalidated(const EntryId& aEntry, MonotonicTime aSentAt);
  void OnResume(const protocol::RunResume& aResume, MonotonicTime aNow);
  void OnOrder(const EntryId& aEntry,
               const protocol::RunOrder& aOrder,
               MonotonicTime aNow);
  void OnCancel(const EntryId& aEntry,
                const protocol::RunCancel& aCancel,
                MonotonicTime aNow);
  void OnControlChanged(MonotonicTime aNow);
  /** Must be called about every 50 ms. */
  void OnTick(MonotonicTime aNow);

  /** Begins a graceful stop: returns queued runs and lets active ones end. */
  void BeginStop(MonotonicTime aNow);
  bool IsIdle() const { return runs_.empty() && !departure_; }
  bool HasWorkFor(const EntryId& aEntry) const;
  std::size_t Queued() const { return queue_.size(); }

  /** Returns the status to send to aEntry. */
  protocol::UpstreamStatus Status(const EntryId& aEntry,
                                  MonotonicTime aNow) const;
  /** Increases when values that entries decide by have changed. */
  std::uint64_t StatusRevision() const { return statusRevision_; }

private:
  struct PendingHold
  {
    std::uint64_t number;
    MonotonicTime sentAt;
    std::uint64_t token;
    std::uint64_t lastSeen;
    MonotonicTime overdueAt;
  };
  struct EntrySession
  {
    MonotonicTime revalidatedAt;
    std::uint64_t ordersSeen = 0;
  };
  /** An order whose task has a run for another entry. */
  struct BlockedOrder
  {
    EntryId entry;
    RunKey key;

    friend bool operator==(const BlockedOrder&, const BlockedOrder&) = default;
  };
  struct RecentEnd
  {
    protocol::RunEnd end;
    MonotonicTime expires;
  };
  struct RecentLoss
  {
    protocol::LostRun run;
    protocol::LossState state;
    MonotonicTime expires;
  };
  using QueueKey = std::tuple<std::uint32_t, std::uint64_t, RunKey>;

  /**
   * Whether the reported incarnation may be the present one's successor. An
   * answer from the same address proves that the present one has ended; from
   * another address it proves nothing, and both may run.
   */
  bool MayBeNext(const RunnerReport& aReport, MonotonicTime aNow) const;
  /** Calls the runner even if it is idle, to learn whether it still answers. */
  void ProbeRunner(MonotonicTime aNow);
  /** aClockMs: the latest that is known of the runner's clock. */
  void VerifyReport(const RunnerReport& aReport,
                    std::int64_t aClockMs,
                    MonotonicTime aNow);
  void CallVerification(MonotonicTime aNow);
  void RepeatVerificationIfDue(MonotonicTime aNow);
  void OnVerificationAnswered(std::uint64_t aNumber,
                              const HoldAnswer& aAnswer,
                              MonotonicTime aNow);
  /** Verifies the same incarnation again, with a higher token. */
  void OnVerificationFenced(std::int64_t aClockMs, MonotonicTime aNow);
  void EndVerification(MonotonicTime aNow);
  /**
   * Whether another incarnation has reported from the runner's address, so that
   * neither the room nor the labels of the present one are certain.
   */
  bool IsSuccessorAnnounced() const;
  void AdoptIncarnation(const RunnerReport& aReport,
                        const HoldAnswer& aAnswer,
                        std::uint64_t aToken,
                        MonotonicTime aNow);
  /** Fences and adopts an incarnation that answers before it has reported. */
  void OnNextIncarnationAnswered(const HoldAnswer& aAnswer, MonotonicTime aNow);
  /**
   * Handles a call without an answer; marks the runner unreachable if it has
   * been silent for too long.
   */
  void OnNoAnswer(MonotonicTime aNow);
  /** Starts nothing at the runner until it answers again. */
  void MarkUnreachable(MonotonicTime aNow);
  /**
   * Ends all started runs except aKept; the others can't be active any more.
   */
  void EndRunsExcept(const std::set<RunKey>& aKept,
                     EndEvidence aEvidence,
                     MonotonicTime aNow);
  /**
   * Releases a leaving runner once all of its runs are known to have ended, or
   * when its announcement can't wait any longer.
   */
  void ReleaseRunnerIfDue(MonotonicTime aNow);
  void ReleaseRunner(MonotonicTime aNow);
  bool AreEndsKnown() const;
  /** Whether the runner was seen not to answer for a while. */
  bool IsRunnerSilent(MonotonicTime aNow) const;
  /** Tells all entries which runs were at work as the runner was lost. */
  void AnnounceLosses(const std::vector<RunKey>& aLost,
                      protocol::LossState aState,
                      MonotonicTime aNow);
  /** Tells all entries whether the runner had crashed or was only silent. */
  void ResolveSuspectedLosses(protocol::LossState aAs);
  void SendToEntries(const protocol::LostRuns& aLost);
  void SendRecentLosses(const EntryId& aEntry);
  /**
   * A runner that doesn't report its start time counts as the same incarnation.
   */
  static bool IsSameIncarnation(const HoldAnswer& aAnswer,
                                const RunnerReport& aReport);
  /**
   * Saves the report with the slowness learned if that has changed much since
   * it was saved.
   */
  void SaveLearnedSlowness(MonotonicTime aNow);
  void RaiseToken(std::uint64_t aBy);
  /**
   * Raises the token above any that an earlier process of this agent may have
   * used.
   */
  void RaiseTokenAfterFencing();
  void ProcessHoldAnswer(const HoldAnswer& aAnswer,
                         const PendingHold& aHold,
                         MonotonicTime aNow);
  void ReconcileRuns(const HoldAnswer& aAnswer,
                     const PendingHold& aHold,
                     MonotonicTime aNow);
  /** Whether some entry was told lately that the run never started. */
  bool WasReportedAsNeverStarted(const RunKey& aKey) const;
  void UpdateProgress(Run& aRun, int aPercent, MonotonicTime aNow);
  void CallHoldIfNeeded(MonotonicTime aNow);
  void CallHold(MonotonicTime aNow);
  RunnerTarget Target() const;
  /**
   * Returns the end of a new lease on the runner's clock, or 0 if no run may go
   * on for longer.
   */
  std::int64_t ExtendLease(MonotonicTime aNow);
  /** How long the runner may go on without this agent; may be negative. */
  Milliseconds LongestLease(MonotonicTime aNow) const;
  /** When the run must have ended unless its entry renews the contact. */
  MonotonicTime LatestEnd(const Run& aRun) const;
  /** Sets the time by which a run that its entry has given up must end. */
  void SetEndOfAbandonedRun(Run& aRun, MonotonicTime aNow) const;
  /** Whether a run that starts now would have a lease worth starting it for. */
  bool CanLease(MonotonicTime aNow) const;
  /** Whether the lease that the runner has already would end in time for it. */
  bool DoesLeaseEndInTime(const Run& aRun) const;

  bool MayStart() const;
  /**
   * Whether the runner's report is recent enough to start runs by. A saved one
   * is not, unless the runner has hardly run for longer.
   */
  bool IsRoomKnown(MonotonicTime aNow) const;
  /**
   * Whether the runner is too small for the run, even without any other. Such a
   * run goes back to its entry, since another worker may have the room.
   */
  bool IsBeyondRoom(const Run& aRun, MonotonicTime aNow) const;
  /** Lets entries know when the room becomes known or unknown. */
  void UpdateRoomKnown(MonotonicTime aNow);
  /** Whether some run of the task is queued or active here. */
  bool HasRunOfTask(const RunKey& aKey) const;
  bool IsRevalidated(const EntryId& aEntry, MonotonicTime aNow) const;
  /** Whether a run or a blocked order of this entry is here. */
  bool IsTracked(const EntryId& aEntry, const RunKey& aKey) const;
  /**
   * Returns the blocked orders for which aIsDue holds to their entries, which
   * then know that the job has started.
   */
  void ReleaseBlockedOrders(
    const std::function<bool(const BlockedOrder&)>& aIsDue,
    MonotonicTime aNow);
  /** Reports what became of a run that the entry awaits and that isn't here. */
  void ReportUnknownRun(const EntryId& aEntry,
                        const RunKey& aKey,
                        MonotonicTime aNow);
  /** Reports the outcome of an order for which there is no run here. */
  void ReportWithoutRun(const EntryId& aEntry,
                        const RunKey& aKey,
                        protocol::RunOutcome aOutcome,
                        EndEvidence aEvidence,
                        MonotonicTime aNow);
  /** Number of runs that occupy resources or may do so: all but queued ones. */
  std::size_t CountOccupyingRuns() const
  {
    return runs_.size() - queue_.size();
  }
  Resources FreeResources() const;
  /** Whether a run may be active whose task is suspected to crash runners. */
  bool HasSuspectRun() const;
  void StartQueuedRuns(MonotonicTime aNow);
  /**
   * Starts what the start policy chooses of the queued runs that are not held
   * back. Adds those that it chooses but that may not start now.
   */
  void StartByPolicy(std::set<RunKey>& aHeldBack, MonotonicTime aNow);
  /** Ends the queued runs that can't start here any more. */
  void EndUnstartableRuns(MonotonicTime aNow);
  /** What the start policy decides by; a runner must be known. */
  RunnerLoad DescribeLoad(const std::vector<RunKey>& aQueue,
                          MonotonicTime aNow) const;
  void Start(Run& aRun, MonotonicTime aNow);
  void CallStart(Run& aRun, MonotonicTime aNow);
  /** Handles a start call without an answer. */
  void OnStartUnanswered(Run& aRun, MonotonicTime aNow);
  /** Handles an answer by which this call started nothing. */
  void OnStartRefused(Run& aRun,
                      std::uint64_t aToken,
                      StartResult aResult,
                      MonotonicTime aNow);
  /**
   * Returns the queued runs of the order that can't be expected to start in
   * time, so that the entry can place them elsewhere while there is time.
   */
  void ReturnUnstarted(const EntryId& aEntry,
                       const protocol::RunOrder& aOrder,
                       MonotonicTime aNow);
  void ReturnQueue(protocol::RunOutcome aWhy, MonotonicTime aNow);
  void Stop(Run& aRun, StopReason aReason, MonotonicTime aNow);
  void CallStop(Run& aRun);
  /** Stops a run that this process did not start. */
  void CallForeignStop(const RunKey& aKey);
  void End(const RunKey& aKey,
           protocol::RunOutcome aOutcome,
           EndEvidence aEvidence,
           MonotonicTime aNow);
  /** Ends a run that was never called at the runner. */
  void EndUnstarted(const RunKey& aKey,
                    protocol::RunOutcome aOutcome,
                    MonotonicTime aNow)
  {
    End(aKey, aOutcome, EndEvidence::NotCalled, aNow);
  }
  void NotifyEnded(const Run& aRun,
                   const protocol::RunEnd& aEnd,
                   EndEvidence aEvidence,
                   MonotonicTime aNow);
  void FlushReports();
  /** Expected time until a queued run starts, by the runs ahead of it. */
  Milliseconds EstimateStartDelay(const Run& aQueued, MonotonicTime aNow) const;
  /** Expected run time here of a task whose estimate is aEstimate. */
  Milliseconds EstimateRunTime(Milliseconds aEstimate) const;
  /** Expected time until a task that is queued last now starts. */
  Milliseconds EstimateStartDelayOfNext(MonotonicTime aNow) const;
  /** Expected time until aCpu, in thousandths of a core, are free. */
  Milliseconds EstimateTimeUntilFree(std::int64_t aCpu,
                                     MonotonicTime aNow) const;
  Milliseconds EstimateRemaining(const Run& aRun, MonotonicTime aNow) const;

  UpstreamId upstream_;
  Incarnation incarnation_;
  RunSupervisorLimits limits_;
  const ControlView& control_;
  RunSupervisorPort& port_;
  RunnerHealth health_;
  MonotonicTime slownessSavedAt_;
  /** Response times of start calls. */
  ResponseTimeEstimator startResponseTimes_;
  std::optional<RunnerIncarnation> runner_;
  std::optional<RunnerDeparture> departure_;
  std::optional<RunnerVerification> verification_;
  /** The latest report received during the verification. */
  std::optional<RunnerReport> nextReport_;
  /**
   * Pending hold calls by number. Another one is made when an answer is
   * overdue, so that a lost answer doesn't delay the detection of ends for
   * long.
   */
  std::map<std::uint64_t, PendingHold> pendingHolds_;
  /** Answers to hold calls with lower numbers are ignored as outdated. */
  std::uint64_t lastProcessedHold_ = 0;
  std::uint64_t nextHoldNumber_ = 1;
  /** Runs of earlier processes of this agent that are being stopped. */
  std::set<RunKey> foreignRuns_;
  std::map<RunKey, Run> runs_;
  std::set<QueueKey> queue_;
  /** Orders that wait for the end of another entry's run of their task. */
  std::vector<BlockedOrder> blockedOrders_;
  std::uint64_t nextArrival_ = 0;
  std::map<EntryId, EntrySession> sessions_;
  /** For entries that connect later. */
  std::deque<RecentLoss> recentLosses_;
  std::map<std::pair<EntryId, RunKey>, RecentEnd> recentEnds_;
  std::map<std::pair<EntryId, SubmissionId>, std::vector<protocol::RunEnd>>
    reports_;
  std::uint64_t statusRevision_ = 1;
  bool isStopping_ = false;
  std::int64_t averageTaskCpu_ = 0;
};

}

#endif
