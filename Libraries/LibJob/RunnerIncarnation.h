#ifndef Libraries_LibJob_RunnerIncarnation_h
#define Libraries_LibJob_RunnerIncarnation_h

#include "LibCore/Time.h"
#include "LibJob/RunnerClock.h"
#include "LibJob/RunnerReport.h"

#include <cstdint>

namespace vanillaworks::job {

/** The current incarnation of the runner. */
struct RunnerIncarnation
{
  explicit RunnerIncarnation(double aMaxClockDrift)
    : clock(aMaxClockDrift)
  {
  }

  RunnerReport report;
  std::uint64_t token = 0;
  RunnerClock clock;
  std::uint64_t lastSeen = 0;
  std::uint64_t acknowledgedEnd = 0;
  /** The runner has no runs that are unknown to this process. */
  bool isReconciled = false;
  /** The runner has announced that it shuts down; nothing is started. */
  bool isLeaving = false;
  /** The runner answers calls; nothing is started while it does not. */
  bool isReachable = true;
  MonotonicTime unreachableSince;
  /** Whether entries were told that the room is known; see IsRoomKnown(). */
  bool isRoomKnown = true;
  MonotonicTime lastAnswerAt;
  MonotonicTime nextHoldAt;
  /** When the leases of all started runs have expired. */
  MonotonicTime leasesExpireAt;
  /** End of the longest lease that was asked for, by an exact clock. */
  MonotonicTime requestedLeaseEnd;
};

}

#endif
