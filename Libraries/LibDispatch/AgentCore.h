#ifndef Libraries_LibDispatch_AgentCore_h
#define Libraries_LibDispatch_AgentCore_h

#include "LibDispatch/AgentPort.h"
#include "LibDispatch/StartGate.h"
#include "LibProtocol/Frame.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace vanillaworks::dispatch {

struct AgentLimits
{
  GateLimits gate;
  /** Queue capacity: tasks that may wait in addition to the running ones. */
  std::uint32_t queue = 8;
  /** Bytes of unacknowledged results that are kept for retransmission. */
  std::size_t heldResultBytes = std::size_t{ 32 } * 1024 * 1024;
};

/**
 * The decision logic of the agent, the sidecar process of an upstream. It
 * admits, queues and starts tasks through its start gate, keeps results until
 * entries acknowledge them, and handles fences and reconnections. It does no
 * I/O and reads no clock: time is passed in. Not thread safe.
 */
class AgentCore
{
public:
  AgentCore(protocol::AgentHello aIdentity,
            AgentLimits aLimits,
            ConfigurationHolder& aConfiguration,
            AgentPort& aPort);

  /** Handles the entry's part of the handshake on a new link. */
  void OnWelcome(const protocol::Welcome& aWelcome);
  /** Whether a later incarnation of the entry has a link. */
  bool IsOutdated(const protocol::Welcome& aWelcome) const;
  void OnLinkDown(const EntryId& aEntry);

  /**
   * Handles any frame after the handshake. aNow is when the frame was read,
   * which may be long after it arrived.
   */
  void OnFrame(const EntryId& aEntry,
               const protocol::Frame& aFrame,
               MonotonicTime aNow);

  /**
   * Handles the upstream's outcome of a task. Precondition: RunOnUpstream was
   * called for the task.
   */
  void OnTaskEnded(const protocol::TaskKey& aKey,
                   protocol::ResultCode aCode,
                   std::string aPayload,
                   Microseconds aService,
                   MonotonicTime aNow);

  /** Expires deadlines and results; must be called about every 100 ms. */
  void OnTick(MonotonicTime aNow);

  /**
   * Begins a graceful stop: no further task starts; running tasks finish and
   * their results are sent.
   */
  void BeginStop(MonotonicTime aNow);

  /** Whether no task is running or queued. */
  bool IsIdle() const { return queue_.empty() && gate_.Running() == 0; }
  /** Whether no task is running or queued and no result is unacknowledged. */
  bool IsDrained() const { return IsIdle() && heldResults_.empty(); }

  /** Whether a task that the entry sent is queued or running. */
  bool HasWorkFor(const EntryId& aEntry) const
  {
    auto found = unfinishedByEntry_.find(aEntry);
    return found != unfinishedByEntry_.end() && found->second != 0;
  }

  std::uint32_t Occupancy() const
  {
    return gate_.Running() + static_cast<std::uint32_t>(queue_.size());
  }
  const StartGate& Gate() const { return gate_; }
  std::size_t HeldResults() const { return heldResults_.size(); }

private:
  struct QueuedTask
  {
    protocol::Start start;
    EntryIdentity sender;
    MonotonicTime deadline;
  };
  /** A started task; kept until its record expires. */
  struct StartedTask
  {
    /** Receives the result: the sender, or the entry that fenced it. */
    EntryIdentity owner;
    EntryIdentity sender;
    MonotonicTime deadline;
    bool running = true;
    /** Number of the held result; 0 if there is none. */
    std::uint64_t result = 0;
  };
  struct HeldResult
  {
    protocol::TaskResult result;
    MonotonicTime expires;
  };
  struct Session
  {
    Incarnation incarnation;
    /** The latest send time of this agent that the entry has echoed. */
    MonotonicTime echo;
  };
  using QueueOrder = std::pair<std::uint32_t, std::uint64_t>;

  void OnHeader(const EntryId& aEntry,
                Session& aSession,
                const protocol::Header& aHeader);
  void OnStart(const EntryId& aEntry,
               const Session& aSession,
               const protocol::Start& aStart,
               MonotonicTime aNow);
  void OnCancel(const protocol::Cancel& aCancel);
  void OnFence(const EntryId& aFrom,
               const Session& aSession,
               const protocol::Fence& aFence,
               MonotonicTime aNow);
  void OnConfiguration(const protocol::ConfigurationUpdate& aUpdate,
                       MonotonicTime aNow);
  void OnRegistered(const protocol::Registered& aRegistered,
                    MonotonicTime aNow);
  void Reconcile(const protocol::Welcome& aWelcome);

  void StartQueuedTasks(MonotonicTime aNow);
  void RefuseDisallowedTasks(MonotonicTime aNow);
  void Refuse(const EntryIdentity& aOwner,
              const protocol::TaskKey& aKey,
              protocol::RefusalReason aReason);
  void AnswerDuplicate(const EntryIdentity& aSender,
                       const protocol::TaskKey& aKey);
  void SendToOwner(const EntryIdentity& aOwner, protocol::Message aMessage);
  /** Drops the result unless another entry than aFrom owns it. */
  void OnAcknowledged(const EntryIdentity& aFrom, std::uint64_t aResult);
  void DropHeldResult(std::uint64_t aNumber);
  void DropExpiredResults(MonotonicTime aNow);
  GateRequest RequestOf(const QueuedTask& aTask) const;
  bool IsWaiting(const protocol::TaskKey& aKey) const
  {
    return waiting_.contains(aKey);
  }

  protocol::AgentHello identity_;
  AgentLimits limits_;
  ConfigurationHolder& configuration_;
  AgentPort& port_;
  StartGate gate_;
  std::map<EntryId, Session> sessions_;
  std::map<QueueOrder, QueuedTask> queue_;
  std::unordered_map<protocol::TaskKey, QueueOrder> waiting_;
  std::unordered_map<protocol::TaskKey, StartedTask> started_;
  std::map<std::uint64_t, HeldResult> heldResults_;
  /** Queued and running tasks by sending entry, whoever owns the results. */
  std::unordered_map<EntryId, std::uint32_t> unfinishedByEntry_;
  std::size_t heldBytes_ = 0;
  std::uint64_t nextQueued_ = 0;
  std::uint64_t nextResult_ = 1;
};

}

#endif
