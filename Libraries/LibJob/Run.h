#ifndef Libraries_LibJob_Run_h
#define Libraries_LibJob_Run_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/Resources.h"
#include "LibJob/RunEvent.h"
#include "LibJob/RunnerCalls.h"
#include "LibProtocol/RunOutcome.h"

#include <cstdint>
#include <string>

namespace vanillaworks::job {

enum class RunPhase : std::uint8_t
{
  Queued,
  /** The start call was sent; its answer is pending. */
  Starting,
  /** The start call got no answer: the run may be active or may still start. */
  Uncertain,
  Running
};

/** Minimum progress from which the total run time is extrapolated. */
inline constexpr int kMinReliablePercent = 8;
inline constexpr int kFullPercent = 100;

/** A run at an agent, from its order until its end is certain. */
struct Run
{
  RunKey key;
  EntryId entry;
  std::string spec;
  Resources demand;
  std::uint32_t priority = 0;
  Milliseconds estimate{ 0 };
  MonotonicTime startBy;
  /** The task was at work on a runner as it was lost. */
  bool isSuspect = false;
  /** Number in the order of arrival. */
  std::uint64_t arrival = 0;
  RunPhase phase = RunPhase::Queued;
  MonotonicTime calledAt;
  /** Start calls so far; a call without an answer is retried. */
  std::uint32_t startAttempts = 0;
  /** The token of the latest start call. */
  std::uint64_t startToken = 0;
  std::uint32_t stopAttempts = 0;
  /** When the runner confirmed the start. */
  MonotonicTime startedAt;
  int percent = 0;
  MonotonicTime progressAt;
  /** Why the run is being stopped, if it is, and since when. */
  StopReason stopReason = StopReason::None;
  MonotonicTime stopDecidedAt;
  /**
   * When the run must have ended, since its entry has given it up and its
   * caller may submit the job elsewhere; default value before that.
   */
  MonotonicTime abandonedEnd;
  /** The answer to a stop call is pending. */
  bool isStopPending = false;
  /** When the runner accepted the stop; default value before that. */
  MonotonicTime stopAcceptedAt;

  /** Whether the run occupies resources at the runner or may do so. */
  bool OccupiesResources() const { return phase != RunPhase::Queued; }
  bool IsStopping() const { return stopReason != StopReason::None; }
  /** The outcome if the run ends before it is done. */
  protocol::RunOutcome StopOutcome() const
  {
    return stopReason == StopReason::Stuck ? protocol::RunOutcome::Stuck
                                           : protocol::RunOutcome::Stopped;
  }
};

}

#endif
