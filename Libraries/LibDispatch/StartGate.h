#ifndef Libraries_LibDispatch_StartGate_h
#define Libraries_LibDispatch_StartGate_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibDispatch/CircuitBreaker.h"
#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibProtocol/Capacity.h"
#include "LibProtocol/RefusalReason.h"
#include "LibProtocol/TaskKey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>

namespace vanillaworks::dispatch {

/** The properties of a task that the gate checks. */
struct GateRequest
{
  protocol::TaskKey key;
  EntryIdentity sender;
  MonotonicTime deadline;
  protocol::Capacity demand;
  /** Whether the task may start at most once. */
  bool claimed = false;
};

struct GateLimits
{
  std::uint32_t slots = 1;
  protocol::Capacity capacity;
  /** No task starts if the configuration was revalidated longer ago. */
  Milliseconds maxConfigurationAge{ 3000 };
  /** Time after its deadline that a started task stays on record. */
  Milliseconds retention{ 60'000 };
};

/**
 * The final check before a start and the only place that marks a task as
 * started. It checks all conditions that forbid a start and records the start
 * in the same step. A start stays on record past the task's deadline, and no
 * task starts after its deadline, so a claimed task starts at most once on this
 * agent. Not thread safe.
 */
class StartGate
{
public:
  StartGate(UpstreamId aUpstream,
            FailureDomainId aDomain,
            GateLimits aLimits,
            const ConfigurationHolder& aConfiguration);

  /**
   * Returns why the task must not start, or None. Slots and the circuit
   * breaker are not considered. Has no effects.
   */
  protocol::RefusalReason Check(const GateRequest& aRequest,
                                MonotonicTime aNow) const;

  /**
   * Performs Check(), then requires a free slot and the circuit breaker's
   * permission. If it returns None, the task counts as started.
   */
  protocol::RefusalReason Start(const GateRequest& aRequest,
                                MonotonicTime aNow);

  /**
   * Frees the task's slot. Precondition: Start() returned None for the task
   * and the task has not ended.
   */
  void End(const protocol::TaskKey& aKey);

  /**
   * The version was the newest one at aWhen. Ignored unless it is the current
   * version.
   */
  void OnRevalidated(ConfigurationVersion aVersion, MonotonicTime aWhen);

  /** When the version was last known as current; empty before that. */
  std::optional<MonotonicTime> RevalidatedAt() const { return revalidatedAt_; }

  /** Refuses tasks of this and earlier incarnations from now on. */
  void FenceIncarnation(const EntryIdentity& aIdentity);
  bool IsFenced(const EntryIdentity& aIdentity) const;

  /** Must be called once this agent's incarnation is in the table. */
  void SetRegistered() { registered_ = true; }
  bool IsRegistered() const { return registered_; }
  void BeginStop() { stopping_ = true; }
  bool IsStopping() const { return stopping_; }

  bool HasStarted(const protocol::TaskKey& aKey) const
  {
    return started_.contains(aKey);
  }
  bool HasSlot() const { return running_ < limits_.slots; }
  std::uint32_t Running() const { return running_; }
  std::size_t RetainedCount() const { return started_.size(); }

  CircuitBreaker& Breaker() { return breaker_; }
  const CircuitBreaker& Breaker() const { return breaker_; }

  /**
   * Removes records of ended tasks whose deadline passed longer ago than the
   * retention. Returns the number of removed records.
   */
  std::size_t Expire(MonotonicTime aNow);

private:
  struct Expiry
  {
    MonotonicTime when;
    protocol::TaskKey key;
    friend bool operator>(const Expiry& aLeft, const Expiry& aRight)
    {
      return aLeft.when > aRight.when;
    }
  };

  bool IsConfigurationStale(MonotonicTime aNow) const;

  UpstreamId upstream_;
  FailureDomainId domain_;
  GateLimits limits_;
  const ConfigurationHolder& configuration_;
  CircuitBreaker breaker_;
  std::optional<MonotonicTime> revalidatedAt_;
  std::map<EntryId, Incarnation> fences_;
  std::unordered_map<protocol::TaskKey, bool> started_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::uint32_t running_ = 0;
  bool registered_ = false;
  bool stopping_ = false;
};

}

#endif
