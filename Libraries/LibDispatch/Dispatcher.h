#ifndef Libraries_LibDispatch_Dispatcher_h
#define Libraries_LibDispatch_Dispatcher_h

#include "LibDispatch/ClaimOutcome.h"
#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/DispatcherPort.h"
#include "LibDispatch/FenceRound.h"
#include "LibDispatch/MembershipView.h"
#include "LibDispatch/ReadyQueue.h"
#include "LibDispatch/RetryBudget.h"
#include "LibDispatch/RoutingPolicy.h"
#include "LibDispatch/Submission.h"
#include "LibDispatch/UpstreamDirectory.h"
#include "LibProtocol/Frame.h"

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaworks::dispatch {

struct DispatcherLimits
{
  /** Time for a disconnected agent to reconnect before its tasks are lost. */
  Milliseconds agentGrace{ 8000 };
  /** Time that a takeover waits for agents that have not reported. */
  Milliseconds takeoverTimeout{ 4000 };
  /** Time that an ended submission stays in memory. */
  Milliseconds answerRetention{ 30'000 };
  /** Time that a task waits if no known upstream could ever run it. */
  Milliseconds placementTimeout{ 2000 };
  /** Reserved before the deadline for the answer to reach the caller. */
  Milliseconds deadlineMargin{ 20 };
  /**
   * Time that a "not run" answer may wait for its record in the table. After
   * it the caller gets "may have run".
   */
  Milliseconds confirmationTimeout{ 500 };
  /** Time without sends to an upstream after a temporary refusal. */
  Milliseconds refusalBackoff{ 50 };
  std::size_t maxUnfinishedTasks = 200'000;
  /** Retries allowed per first attempt. */
  double retryShare = 0.1;
  /** Upper bound of the accumulated retry budget. */
  double retryBurst = 50;
};

/** The result of Dispatcher::Submit(). */
enum class SubmitResult : std::uint8_t
{
  /** The waiter receives the answer through DispatcherPort::Deliver(). */
  Accepted,
  /** The id is known with different content; the request was ignored. */
  DigestMismatch,
  /** Rejected without effect: the limit of unfinished tasks is reached. */
  Overloaded,
  /** Rejected without effect: the entry is stopping. */
  Stopping
};

/**
 * The decision logic of an entry: claims submissions, places tasks on
 * upstreams, assembles answers and takes over submissions of lost entries. It
 * does no I/O and reads no clock: time is passed in and all side effects go
 * through the port. Not thread safe: all calls come from one thread.
 */
class Dispatcher
{
public:
  Dispatcher(EntryIdentity aSelf,
             DispatcherLimits aLimits,
             std::unique_ptr<RoutingPolicy> aRouting,
             const ConfigurationHolder& aConfiguration,
             DispatcherPort& aPort);
  ~Dispatcher();

  /**
   * Accepts a request or rejects it. aWallNow and aNow must be read together;
   * they convert the wall clock deadline to the monotonic clock.
   */
  SubmitResult Submit(SubmissionRequest aRequest,
                      WaiterId aWaiter,
                      WallTime aWallNow,
                      MonotonicTime aNow);

  /** The waiter's caller disconnected; the submission continues. */
  void RemoveWaiter(const SubmissionId& aSubmission, WaiterId aWaiter);

  /**
   * Withdraws the tasks that have not started. Returns false if this entry
   * does not know the submission.
   */
  bool Cancel(const SubmissionId& aSubmission, MonotonicTime aNow);

  /** Returns null if this entry does not know the submission. */
  const Submission* Find(const SubmissionId& aSubmission) const;

  /** Handles the outcome of Claim(), PollClaim() or TakeOver() of the port. */
  void OnClaim(const SubmissionId& aSubmission,
               const ClaimOutcome& aOutcome,
               MonotonicTime aNow);
  /**
   * Handles the outcome of DispatcherPort::Record(). aOutcome is ClaimRecorded
   * with the answer in the table, even if another owner recorded it.
   */
  void OnRecorded(const SubmissionId& aSubmission,
                  const ClaimOutcome& aOutcome,
                  MonotonicTime aNow);

  /**
   * Handles a new link. Returns the outstanding tasks that the Welcome message
   * must list.
   */
  std::vector<protocol::TaskKey> OnAgentHello(
    const protocol::AgentHello& aHello,
    MonotonicTime aNow);
  /** The Welcome message was sent; other messages may follow it. */
  void OnAgentReady(const UpstreamId& aUpstream, MonotonicTime aNow);
  void OnAgentDown(const UpstreamId& aUpstream, MonotonicTime aNow);
  /** This incarnation of the agent is registered in the table. */
  void OnAgentRegistered(const UpstreamId& aUpstream,
                         Incarnation aIncarnation,
                         MonotonicTime aNow);
  void OnAgentFrame(const UpstreamId& aUpstream,
                    const protocol::Frame& aFrame,
                    MonotonicTime aNow);

  /** The latest view of the entries' rows in the table. */
  MembershipView& Members() { return members_; }

  /** Must be called after the configuration changed. */
  void OnConfiguration(MonotonicTime aNow) { PlaceReady(aNow); }
  /** Handles timeouts and deadlines; must be called about every 20 ms. */
  void OnTick(MonotonicTime aNow);

  /** Rejects further submissions; accepted ones continue. */
  void BeginStop() { stopping_ = true; }
  /** Whether no waiter is left and all outcomes are recorded. */
  bool IsDrained() const;

  /**
   * Must be called after this incarnation was fenced: its claims may be taken
   * over by other entries. Processing continues under a new incarnation; the
   * caller must reconnect all links.
   */
  void StartNewIncarnation(Incarnation aIncarnation, MonotonicTime aNow);
  bool IsFenced() const { return fenced_; }
  /**
   * This incarnation was fenced by another entry; no task is placed until
   * StartNewIncarnation().
   */
  void MarkFenced() { fenced_ = true; }
  const EntryIdentity& Self() const { return self_; }

  const UpstreamDirectory& Upstreams() const { return directory_; }
  std::size_t UnfinishedTasks() const { return unfinishedTasks_; }
  std::size_t Queued() const { return ready_.Size(); }
  std::size_t RetainedCount() const { return submissions_.size(); }

private:
  using Submissions = std::unordered_map<SubmissionId, Submission>;

  void BeginRunning(Submission& aSubmission, MonotonicTime aNow);
  void MakeReady(Submission& aSubmission, std::uint32_t aTask);
  void PlaceReady(MonotonicTime aNow);
  /** The state of one pass over the ready tasks. */
  struct PlacementPass
  {
    MonotonicTime now;
    std::shared_ptr<const ConfigurationDocument> configuration;
    /**
     * Requirements that no upstream can meet in this pass; tasks with the same
     * requirements are skipped.
     */
    std::vector<TaskRequirements> blocked;
    WaitingCounts waiting;
    std::uint32_t skipped;
  };
  VisitResult Place(const ReadyTask& aTask, PlacementPass& aPass);
  TaskRequirements RequirementsOf(const Submission& aSubmission,
                                  std::uint32_t aTask) const;
  void Send(Submission& aSubmission,
            std::uint32_t aTask,
            const UpstreamId& aUpstream,
            MonotonicTime aNow);

  void OnResult(const UpstreamId& aUpstream,
                const protocol::TaskResult& aResult,
                MonotonicTime aNow);
  void OnUnexpectedResult(const UpstreamId& aUpstream,
                          const protocol::TaskResult& aResult);
  void OnNotStarted(Submission& aSubmission,
                    UpstreamRecord& aRecord,
                    const protocol::TaskResult& aResult,
                    MonotonicTime aNow);
  void OnCompleted(Submission& aSubmission,
                   std::uint32_t aTask,
                   const protocol::TaskResult& aResult,
                   MonotonicTime aNow);
  void OnFailed(Submission& aSubmission,
                std::uint32_t aTask,
                const protocol::TaskResult& aResult,
                MonotonicTime aNow);
  void OnReconcile(const UpstreamId& aUpstream,
                   const protocol::Reconcile& aReconcile,
                   MonotonicTime aNow);
  void OnFenceReport(const UpstreamId& aUpstream,
                     const protocol::FenceReport& aReport,
                     MonotonicTime aNow);

  bool RemoveOutstanding(UpstreamRecord& aRecord,
                         const protocol::TaskKey& aKey);
  void HandleLostTasks(UpstreamRecord& aRecord, MonotonicTime aNow);
  void HandleLostTask(const protocol::TaskKey& aKey, MonotonicTime aNow);
  void ReturnToQueue(Submission& aSubmission,
                     std::uint32_t aTask,
                     RetryReason aReason,
                     MonotonicTime aNow);
  void RetryRepeatable(Submission& aSubmission,
                       std::uint32_t aTask,
                       RetryReason aReason,
                       AnswerReason aElse,
                       MonotonicTime aNow);

  void OnClaimHeld(Submission& aSubmission,
                   const ClaimHeld& aHeld,
                   MonotonicTime aNow);
  void OnTakenOver(Submission& aSubmission,
                   const ClaimTakenOver& aTakenOver,
                   MonotonicTime aNow);
  void StartRound(MonotonicTime aNow);
  void FinishRounds(MonotonicTime aNow);
  /** The agent that reported these tasks as running has been replaced. */
  void DropFoundTasks(const UpstreamId& aUpstream);
  void ResolveTakeover(Submission& aSubmission,
                       const FenceRound& aRound,
                       MonotonicTime aNow);

  void ExpireDeadlines(MonotonicTime aNow);
  void ExpireLostAgents(MonotonicTime aNow);
  void ExpireAnswers(MonotonicTime aNow);
  void FailUnplaceableTasks(MonotonicTime aNow);
  void EndEarly(Submission& aSubmission,
                AnswerReason aReason,
                MonotonicTime aNow);
  void End(Submission& aSubmission,
           AnswerState aState,
           AnswerReason aReason,
           MonotonicTime aNow);
  void EndWithAnswer(Submission& aSubmission,
                     Answer aAnswer,
                     MonotonicTime aNow);
  void DeliverAll(Submission& aSubmission, const Answer& aAnswer);
  void ExpireUnconfirmed(MonotonicTime aNow);
  void WithdrawTasks(Submission& aSubmission);
  void AcknowledgeAll(Submission& aSubmission);
  void RecordDecision(Submission& aSubmission,
                      DecisionKind aKind,
                      MonotonicTime aNow,
                      std::uint32_t aTask = 0,
                      const UpstreamId& aUpstream = {},
                      std::string_view aReason = {});
  Submission* FindRunning(const protocol::TaskKey& aKey);

  EntryIdentity self_;
  DispatcherLimits limits_;
  std::unique_ptr<RoutingPolicy> routing_;
  const ConfigurationHolder& configuration_;
  DispatcherPort& port_;
  RetryBudget retryBudget_;
  MembershipView members_;
  UpstreamDirectory directory_;
  ReadyQueue ready_;
  Submissions submissions_;
  std::set<std::pair<MonotonicTime, SubmissionId>> deadlines_;
  std::set<std::pair<MonotonicTime, SubmissionId>> ended_;
  std::set<std::pair<MonotonicTime, SubmissionId>> unconfirmed_;
  /** Takeovers that the next fence round covers together. */
  std::optional<FenceRound> nextRound_;
  std::list<FenceRound> rounds_;
  std::uint64_t nextRoundNumber_ = 1;
  std::size_t unfinishedTasks_ = 0;
  std::size_t waiterCount_ = 0;
  std::size_t unrecordedCount_ = 0;
  std::uint64_t nextRequest_ = 1;
  bool stopping_ = false;
  bool fenced_ = false;
};

}

#endif
