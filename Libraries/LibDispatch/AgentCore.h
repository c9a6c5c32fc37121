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
  /** Tasks that may wait at the agent beside those that run. */
  std::uint32_t queue = 8;
  /** Bytes of unacknowledged results that are kept. */
  std::size_t heldResultBytes = std::size_t{ 32 } * 1024 * 1024;
};

/**
 * The decisions of the process beside an upstream: admits, queues and starts
 * tasks through its gate, keeps results until entries acknowledge them, and
 * answers fences and reconnections. Not thread safe; time is passed in.
 */
class AgentCore
{
public:
  AgentCore(protocol::AgentHello aIdentity,
            AgentLimits aLimits,
            ConfigurationHolder& aConfiguration,
            AgentPort& aPort);

  /** The entry's side of the handshake on a new link. */
  void OnWelcome(const protocol::Welcome& aWelcome);
  void OnLinkDown(const EntryId& aEntry);

  /**
   * Any later frame on that entry's link. aNow: when it was read, which may
   * be long after it arrived.
   */
  void OnFrame(const EntryId& aEntry,
               const protocol::Frame& aFrame,
               MonotonicTime aNow);

  /** The upstream's answer. Precondition: RunOnUpstream was called for it. */
  void OnTaskEnded(const protocol::TaskKey& aKey,
                   protocol::ResultCode aCode,
                   std::string aPayload,
                   Microseconds aService,
                   MonotonicTime aNow);

  /** Call about every 100 ms. */
  void OnTick(MonotonicTime aNow);

  /** Graceful stop: nothing new starts; what runs ends and is answered. */
  void BeginStop(MonotonicTime aNow);

  /** Nothing runs or waits. */
  bool IsIdle() const { return queue_.empty() && gate_.Running() == 0; }
  /** Nothing runs, waits or awaits acknowledgement. */
  bool IsDrained() const { return IsIdle() && held_.empty(); }

  /** Whether a task that the entry sent waits or runs here. */
  bool HasWorkFor(const EntryId& aEntry) const
  {
    auto found = workFor_.find(aEntry);
    return found != workFor_.end() && found->second != 0;
  }

  std::uint32_t Occupancy() const
  {
    return gate_.Running() + static_cast<std::uint32_t>(queue_.size());
  }
  const StartGate& Gate() const { return gate_; }
  std::size_t HeldResults() const { return held_.size(); }

private:
  struct QueuedTask
  {
    protocol::Start start;
    EntryIdentity sender;
    MonotonicTime deadline;
  };
  /** A started task, until its record expires. */
  struct StartedTask
  {
    /** Whom the result goes to: the sender, or who fenced it. */
    EntryIdentity owner;
    EntryIdentity sender;
    MonotonicTime deadline;
    bool running = true;
    /** Set while a result is held. */
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
    /** Our latest send time that the entry has echoed. */
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

  void StartWhatFits(MonotonicTime aNow);
  void RefuseForbidden(MonotonicTime aNow);
  void Refuse(const EntryIdentity& aOwner,
              const protocol::TaskKey& aKey,
              protocol::RefusalReason aReason);
  void AnswerDuplicate(const EntryIdentity& aSender,
                       const protocol::TaskKey& aKey);
  void SendToOwner(const EntryIdentity& aOwner, protocol::Message aMessage);
  void DropHeld(std::uint64_t aNumber);
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
  std::map<std::uint64_t, HeldResult> held_;
  /** By entry: tasks that wait or run, whoever gets their results. */
  std::unordered_map<EntryId, std::uint32_t> workFor_;
  std::size_t heldBytes_ = 0;
  std::uint64_t nextQueued_ = 0;
  std::uint64_t nextResult_ = 1;
};

}

#endif
