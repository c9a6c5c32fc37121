#include "LibJob/RunBounds.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/** Time for a stop to be decided, called, carried out and observed. */
constexpr Milliseconds kStopAllowance{ 300 };
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
  bounds.lease = std::min(aLongestLease, bounds.entryTimeout);
  auto leaseExpiry = bounds.lease + bounds.lease / kClockDriftDivisor;
  bounds.lostAgentTimeout =
    std::max(bounds.entryTimeout, leaseExpiry) + kStopAllowance;
  return bounds;
}

}
