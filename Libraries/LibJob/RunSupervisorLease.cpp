#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** Allowance for calls in flight when a lease is considered expired. */
constexpr Milliseconds kLeaseMargin{ 50 };
/** Time for a start call and for the hold call that renews its lease. */
constexpr Milliseconds kMinStartLease{ 100 };
}

std::int64_t
RunSupervisor::ExtendLease(MonotonicTime aNow)
{
  auto lease = std::min(limits_.lease, LongestLease(aNow));
  if (lease.count() <= 0) {
    return 0;
  }
  // A call may reach the runner's next incarnation, whose clock is behind; that
  // grants the longest lease.
  auto drift = std::chrono::duration_cast<Milliseconds>(limits_.grantedLease *
                                                        limits_.maxClockDrift);
  auto expiresAt = aNow + limits_.grantedLease + drift + kLeaseMargin;
  runner_->leasesExpireAt = std::max(runner_->leasesExpireAt, expiresAt);
  runner_->requestedLeaseEnd =
    std::max(runner_->requestedLeaseEnd, aNow + lease);
  return runner_->clock.EstimateMs(aNow) + lease.count();
}

Milliseconds
RunSupervisor::LongestLease(MonotonicTime aNow) const
{
  // A lease holds for all runs of the runner, so the first one that must end
  // limits it for the others too.
  auto longest = limits_.lease;
  for (const auto& [key, run] : runs_) {
    if (run.OccupiesResources()) {
      auto left =
        std::chrono::duration_cast<Milliseconds>(LatestEnd(run) - aNow);
      longest = std::min(longest, left);
    }
  }
  return longest;
}

MonotonicTime
RunSupervisor::LatestEnd(const Run& aRun) const
{
  bool isAbandoned = aRun.abandonedEnd != MonotonicTime{};
  return isAbandoned
           ? aRun.abandonedEnd
           : sessions_.at(aRun.entry).revalidatedAt + limits_.contactLease;
}

void
RunSupervisor::SetEndOfAbandonedRun(Run& aRun, MonotonicTime aNow) const
{
  // Later contact with the entry, or with its next process, is no reason to go
  // on for longer.
  aRun.abandonedEnd = std::min(LatestEnd(aRun), aNow + limits_.cancelLease);
}

bool
RunSupervisor::CanLease(MonotonicTime aNow) const
{
  return LongestLease(aNow) >= kMinStartLease;
}

bool
RunSupervisor::DoesLeaseEndInTime(const Run& aRun) const
{
  // A lease can't be shortened, and it holds for runs that start later too.
  return LatestEnd(aRun) >= runner_->requestedLeaseEnd;
}

}
