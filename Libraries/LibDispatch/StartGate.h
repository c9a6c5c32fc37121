#ifndef Libraries_LibDispatch_StartGate_h
#define Libraries_LibDispatch_StartGate_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/FailureStreak.h"
#include "LibProtocol/Capacity.h"
#include "LibProtocol/RefusalReason.h"
#include "LibProtocol/TaskKey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <unordered_map>

namespace vanillaworks::dispatch {

/** What the gate needs to know of a task. */
struct GateRequest
{
  protocol::TaskKey key;
  EntryIdentity sender;
  MonotonicTime deadline;
  protocol::Capacity demand;
  bool claimed = false;
};

struct GateLimits
{
  std::uint32_t slots = 1;
  protocol::Capacity capacity;
  /** No start on a configuration that was last vouched for longer ago. */
  Milliseconds maxConfigurationAge{ 3000 };
  /** How long past its deadline a started task is remembered. */
  Milliseconds retention{ 60'000 };
};

/**
 * The last gate: the one place that marks a task as started. It checks all
 * that forbids a start and records the start in the same step. What was
 * started stays in the record past its deadline, and after its deadline no
 * task starts, so a task starts at most once here. Not thread safe.
 */
class StartGate
{
public:
  StartGate(UpstreamId aUpstream,
            FailureDomainId aDomain,
            GateLimits aLimits,
            const ConfigurationHolder& aConfiguration);

  /** Nothing forbids the start except a lack of slots: None. No effects. */
  protocol::RefusalReason Check(const GateRequest& aRequest,
                                MonotonicTime aNow) const;

  /** Check(), then a slot; on None the task counts as started. */
  protocol::RefusalReason Start(const GateRequest& aRequest,
                                MonotonicTime aNow);

  /** Precondition: Start() returned None for it and it has not ended. */
  void End(const protocol::TaskKey& aKey);

  /** aWhen: the latest time at which the current version was vouched for. */
  void OnVouched(ConfigurationVersion aVersion, MonotonicTime aWhen);

  /** Nothing before the first time. */
  std::optional<MonotonicTime> VouchedAt() const { return vouchedAt_; }

  /** Refuses this and older incarnations from now on. */
  void FenceIncarnation(const EntryIdentity& aIdentity);
  bool IsFenced(const EntryIdentity& aIdentity) const;

  /** Set once the table holds this agent's incarnation. */
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
  std::size_t Remembered() const { return started_.size(); }

  FailureStreak& Streak() { return streak_; }
  const FailureStreak& Streak() const { return streak_; }

  /**
   * Forgets starts whose deadline passed longer ago than the retention, and
   * says how many.
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
  FailureStreak streak_;
  std::optional<MonotonicTime> vouchedAt_;
  std::map<EntryId, Incarnation> fences_;
  std::unordered_map<protocol::TaskKey, bool> started_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::uint32_t running_ = 0;
  bool registered_ = false;
  bool stopping_ = false;
};

}

#endif
