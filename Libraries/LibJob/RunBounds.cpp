#include "LibJob/RunBounds.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/**
 * Time from the agent's decision to stop a run until the run has ended in any
 * case: time to call and confirm the stop, then the end of the lease.
 */
constexpr Milliseconds kStopAllowance{ 300 };
/** Time for an entry to notice that a caller has gone, and to tell the agent.
 */
constexpr Milliseconds kNoticeAllowance{ 300 };
/** Time for the runner to end runs whose lease has expired. */
constexpr Milliseconds kLapseAllowance{ 50 };
/**
 * Age of the contact with an entry that is well: the heartbeat interval of an
 * agent without work for it, and the way there and back.
 */
constexpr Milliseconds kContactAge{ 450 };
constexpr Milliseconds kMinLease{ 200 };
constexpr Milliseconds kMinEntryTimeout{ 200 };
constexpr Milliseconds kMaxEntryTimeout{ 2000 };
/** A runner's clock may be 2% slow (1/50). */
constexpr int kClockDriftDivisor = 50;
}

RunBounds
RunBounds::Derive(Milliseconds aCallerRetry, Milliseconds aLongestLease)
{
  RunBounds bounds{};
  bounds.entryTimeout = std::clamp(
    aCallerRetry - kStopAllowance, kMinEntryTimeout, kMaxEntryTimeout);
  bounds.lostAgentTimeout = bounds.entryTimeout + kStopAllowance;
  auto latestEnd = bounds.lostAgentTimeout - kLapseAllowance;
  // A run may start only if the runner's lease ends in time for it, so a lease
  // leaves room for the age of the contact.
  bounds.lease = std::min(
    aLongestLease,
    std::clamp(latestEnd - kContactAge, kMinLease, bounds.entryTimeout));
  bounds.cancelLease =
    std::max(bounds.entryTimeout - kNoticeAllowance, kMinEntryTimeout);
  bounds.grantedLease = aLongestLease;
  bounds.contactLease = latestEnd - bounds.lease / kClockDriftDivisor;
  return bounds;
}

}
