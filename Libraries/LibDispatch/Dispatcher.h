#ifndef Libraries_LibDispatch_Dispatcher_h
#define Libraries_LibDispatch_Dispatcher_h

#include "LibDispatch/ClaimOutcome.h"
#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/DispatcherPort.h"
#include "LibDispatch/FenceRound.h"
#include "LibDispatch/MemberTable.h"
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
  /** How long a lost agent may take to come back before its tasks are lost. */
  Milliseconds agentGrace{ 8000 };
  /** How long a takeover waits for agents that do not answer. */
  Milliseconds takeoverPatience{ 4000 };
  /** How long an ended submission stays in memory. */
  Milliseconds answerRetention{ 30'000 };
  /** How long a kind that nobody serves may wait for an upstream. */
  Milliseconds fitPatience{ 2000 };
  /** Kept before the deadline, for the answer to reach the caller. */
  Milliseconds deadlineMargin{ 20 };
  /** How long "not run" may wait to be recorded before it is given. */
  Milliseconds confirmPatience{ 500 };
  /** Pause after a refusal by a gate that will pass. */
  Milliseconds refusalPause{ 50 };
  std::size_t maxUnfinishedTasks = 200'000;
  double retryShare = 0.1;
  double retryBurst = 50;
};

/** What Submit() did. */
enum class SubmitResult : std::uint8_t
{
  /** The waiter gets the answer through the port. */
  Accepted,
  /** The id is known with another content; nothing was done. */
  DigestMismatch,
  /** Refused before anything was done. */
  Overloaded,
  Stopping
};

/**
 * The decisions of an entry host: claims submissions, places tasks, puts
 * answers together, takes over from lost entries. One thread calls it; time
 * is passed in and all effects go through its port.
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

  /** aWallNow and aNow are read together and tie the deadline to the clock. */
  SubmitResult Submit(SubmissionRequest aRequest,
                      WaiterId aWaiter,
                      WallTime aWallNow,
                      MonotonicTime aNow);

  /** The waiter's caller went away; its submission goes on. */
  void ForgetWaiter(const SubmissionId& aSubmission, WaiterId aWaiter);

  /** Stops what has not started. False when this entry does not know it. */
  bool Cancel(const SubmissionId& aSubmission, MonotonicTime aNow);

  /** Nothing where this entry does not know it. */
  const Submission* Find(const SubmissionId& aSubmission) const;

  void OnClaim(const SubmissionId& aSubmission,
               const ClaimOutcome& aOutcome,
               MonotonicTime aNow);
  /** aOutcome: ClaimRecorded with what the table holds, ours or not. */
  void OnRecorded(const SubmissionId& aSubmission,
                  const ClaimOutcome& aOutcome,
                  MonotonicTime aNow);

  /** A new link; what a Welcome must list is returned. */
  std::vector<protocol::TaskKey> OnAgentHello(
    const protocol::AgentHello& aHello,
    MonotonicTime aNow);
  /** The agent's Welcome has been sent; other messages may follow. */
  void OnAgentReady(const UpstreamId& aUpstream, MonotonicTime aNow);
  void OnAgentDown(const UpstreamId& aUpstream, MonotonicTime aNow);
  /** The table holds this incarnation of the agent. */
  void OnAgentRegistered(const UpstreamId& aUpstream,
                         Incarnation aIncarnation,
                         MonotonicTime aNow);
  void OnAgentFrame(const UpstreamId& aUpstream,
                    const protocol::Frame& aFrame,
                    MonotonicTime aNow);

  /** The newest view of who the entries are. */
  MemberTable& Members() { return members_; }

  /** Call after the configuration changed. */
  void OnConfiguration(MonotonicTime aNow) { PlaceReady(aNow); }
  /** Call about every 20 ms. */
  void OnTick(MonotonicTime aNow);

  /** Takes no more submissions; what is accepted goes on. */
  void BeginStop() { stopping_ = true; }
  /** No waiter is left and every outcome is recorded. */
  bool IsDrained() const;

  /**
   * This life was fenced: what it claimed belongs to others now. Everything
   * goes on under a new incarnation; links must be made anew.
   */
  void Reincarnate(Incarnation aIncarnation, MonotonicTime aNow);
  bool IsFenced() const { return fenced_; }
  /** Others have fenced this life; nothing is placed until Reincarnate(). */
  void MarkFenced() { fenced_ = true; }
  const EntryIdentity& Self() const { return self_; }

  const UpstreamDirectory& Upstreams() const { return directory_; }
  std::size_t UnfinishedTasks() const { return unfinishedTasks_; }
  std::size_t Queued() const { return ready_.Size(); }
  std::size_t Remembered() const { return submissions_.size(); }

private:
  using Submissions = std::unordered_map<SubmissionId, Submission>;

  void Begin(Submission& aSubmission, MonotonicTime aNow);
  void MakeReady(Submission& aSubmission, std::uint32_t aTask);
  void PlaceReady(MonotonicTime aNow);
  /** One walk over the ready tasks. */
  struct PlacementPass
  {
    MonotonicTime now;
    std::shared_ptr<const ConfigurationDocument> configuration;
    /** What found no place in this walk; its like is not tried again. */
    std::vector<TaskNeeds> blocked;
    WaitingFor waiting;
    std::uint32_t skips;
  };
  Visit Place(const ReadyTask& aTask, PlacementPass& aPass);
  TaskNeeds NeedsOf(const Submission& aSubmission, std::uint32_t aTask) const;
  void Send(Submission& aSubmission,
            std::uint32_t aTask,
            const UpstreamId& aUpstream,
            MonotonicTime aNow);

  void OnResult(const UpstreamId& aUpstream,
                const protocol::TaskResult& aResult,
                MonotonicTime aNow);
  void OnUnawaitedResult(const UpstreamId& aUpstream,
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

  bool TakeOutstanding(UpstreamRecord& aRecord, const protocol::TaskKey& aKey);
  void LoseTasks(UpstreamRecord& aRecord, MonotonicTime aNow);
  void LoseTask(const protocol::TaskKey& aKey, MonotonicTime aNow);
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
  void ResolveTakeover(Submission& aSubmission,
                       const FenceRound& aRound,
                       MonotonicTime aNow);

  void ExpireDeadlines(MonotonicTime aNow);
  void ExpireLostAgents(MonotonicTime aNow);
  void ExpireAnswers(MonotonicTime aNow);
  void FailUnfit(MonotonicTime aNow);
  void EndEarly(Submission& aSubmission,
                AnswerReason aReason,
                MonotonicTime aNow);
  void End(Submission& aSubmission,
           AnswerState aState,
           AnswerReason aReason,
           MonotonicTime aNow);
  void EndWith(Submission& aSubmission, Answer aAnswer, MonotonicTime aNow);
  void DeliverAll(Submission& aSubmission, const Answer& aAnswer);
  void ExpireUnconfirmed(MonotonicTime aNow);
  void WithdrawTasks(Submission& aSubmission);
  void AcknowledgeAll(Submission& aSubmission);
  void Note(Submission& aSubmission,
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
  RetryBudget retries_;
  MemberTable members_;
  UpstreamDirectory directory_;
  ReadyQueue ready_;
  Submissions submissions_;
  std::set<std::pair<MonotonicTime, SubmissionId>> deadlines_;
  std::set<std::pair<MonotonicTime, SubmissionId>> ended_;
  std::set<std::pair<MonotonicTime, SubmissionId>> unconfirmed_;
  /** Takeovers that are waiting to be asked about together. */
  std::optional<FenceRound> nextRound_;
  std::list<FenceRound> rounds_;
  std::uint64_t nextRoundNumber_ = 1;
  std::size_t unfinishedTasks_ = 0;
  std::size_t waiting_ = 0;
  std::size_t unrecorded_ = 0;
  std::uint64_t nextRequest_ = 1;
  bool stopping_ = false;
  bool fenced_ = false;
};

}

#endif
