#include "LibDispatch/StartGate.h"

#include <algorithm>

namespace vanillaworks::dispatch {

using protocol::RefusalReason;

StartGate::StartGate(UpstreamId aUpstream,
                     FailureDomainId aDomain,
                     GateLimits aLimits,
                     const ConfigurationHolder& aConfiguration)
  : upstream_(std::move(aUpstream))
  , domain_(std::move(aDomain))
  , limits_(aLimits)
  , configuration_(aConfiguration)
{
}

RefusalReason
StartGate::Check(const GateRequest& aRequest, MonotonicTime aNow) const
{
  auto started = started_.find(aRequest.key);
  bool isRunning = started != started_.end() && started->second;
  // A repeatable request may start again here once its last attempt has ended.
  if (isRunning || (started != started_.end() && aRequest.claimed)) {
    return RefusalReason::Duplicate;
  }
  if (IsFenced(aRequest.sender)) {
    return RefusalReason::Fenced;
  }
  if (aRequest.deadline <= aNow) {
    return RefusalReason::DeadlinePassed;
  }
  if (IsConfigurationStale(aNow)) {
    return RefusalReason::ConfigurationStale;
  }
  auto configuration = configuration_.Current();
  if (configuration->IsClosed(domain_)) {
    return RefusalReason::DomainClosed;
  }
  if (stopping_ || configuration->IsLeaving(upstream_)) {
    return RefusalReason::UpstreamLeaving;
  }
  // A takeover queries only the agents that are registered in the table, so a
  // claimed task must not start on an agent that it would not query.
  if (aRequest.claimed && !registered_) {
    return RefusalReason::NotRegistered;
  }
  if (!limits_.capacity.Fits(aRequest.demand)) {
    return RefusalReason::DoesNotFit;
  }
  return RefusalReason::None;
}

RefusalReason
StartGate::Start(const GateRequest& aRequest, MonotonicTime aNow)
{
  auto reason = Check(aRequest, aNow);
  if (reason != RefusalReason::None) {
    return reason;
  }
  if (!HasSlot()) {
    return RefusalReason::QueueFull;
  }
  if (breaker_.IsSetAside() && !breaker_.TryAcquireProbe(aNow)) {
    return RefusalReason::SetAside;
  }
  started_[aRequest.key] = true;
  expiries_.push({ aRequest.deadline + limits_.retention, aRequest.key });
  ++running_;
  return RefusalReason::None;
}

void
StartGate::End(const protocol::TaskKey& aKey)
{
  auto found = started_.find(aKey);
  if (found == started_.end() || !found->second) {
    return;
  }
  found->second = false;
  --running_;
}

void
StartGate::OnRevalidated(ConfigurationVersion aVersion, MonotonicTime aWhen)
{
  if (aVersion != configuration_.Current()->version) {
    return;
  }
  revalidatedAt_ = revalidatedAt_ ? std::max(*revalidatedAt_, aWhen) : aWhen;
}

void
StartGate::FenceIncarnation(const EntryIdentity& aIdentity)
{
  auto& fence = fences_[aIdentity.entry];
  fence = std::max(fence, aIdentity.incarnation);
}

bool
StartGate::IsFenced(const EntryIdentity& aIdentity) const
{
  auto fence = fences_.find(aIdentity.entry);
  return fence != fences_.end() && aIdentity.incarnation <= fence->second;
}

bool
StartGate::IsConfigurationStale(MonotonicTime aNow) const
{
  return !revalidatedAt_ ||
         aNow - *revalidatedAt_ > limits_.maxConfigurationAge;
}

std::size_t
StartGate::Expire(MonotonicTime aNow)
{
  auto before = started_.size();
  while (!expiries_.empty() && expiries_.top().when <= aNow) {
    auto found = started_.find(expiries_.top().key);
    if (found != started_.end() && found->second) {
      // The task runs past its deadline: check again one retention later.
      auto key = expiries_.top().key;
      expiries_.pop();
      expiries_.push({ aNow + limits_.retention, key });
      continue;
    }
    if (found != started_.end()) {
      started_.erase(found);
    }
    expiries_.pop();
  }
  return before - started_.size();
}

}
