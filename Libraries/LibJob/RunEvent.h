#ifndef Libraries_LibJob_RunEvent_h
#define Libraries_LibJob_RunEvent_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/RunReport.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace vanillaworks::job {

/** Why an agent asked its runner to stop a run. */
enum class StopReason : std::uint8_t
{
  None,
  /** The entry cancelled the run. */
  Cancelled,
  /** The entry does not await the run, as it said on a new link. */
  NotAwaited,
  /** There was no contact with the entry for too long. */
  EntryLost,
  Stuck,
  /** The start call got no answer. */
  StartUnconfirmed,
  /** The runner has announced that it shuts down. */
  RunnerLeaving
};

/**
 * Whether the job may be started elsewhere soon, since its entry has given it
 * up or can't be reached. Thread safe.
 */
constexpr bool
IsAbandonment(StopReason aReason)
{
  return aReason == StopReason::Cancelled ||
         aReason == StopReason::NotAwaited || aReason == StopReason::EntryLost;
}

inline constexpr std::array<std::string_view, 7> kStopReasonNames{
  "none",  "cancelled",   "not_awaited",   "entry_lost",
  "stuck", "unconfirmed", "runner_leaving"
};

/** The reason's text in logs. Thread safe. */
constexpr std::string_view
StopReasonName(StopReason aReason)
{
  return kStopReasonNames[static_cast<std::size_t>(aReason)];
}

/** How an agent knows that a run has ended. */
enum class EndEvidence : std::uint8_t
{
  /** No start call was made. */
  NotCalled,
  StartRefused,
  /** The runner listed the run as ended, in this way. */
  ListedDone,
  ListedFailed,
  ListedStopped,
  ListedLapsed,
  /** The runner lists the run neither as active nor as ended. */
  NotListed,
  /** Another incarnation of the runner has taken its place. */
  RunnerLost,
  /** The same, after the runner had announced that it shuts down. */
  RunnerLeft,
  /** The runner was silent until the run's lease had expired. */
  RunnerSilent,
  /** The lease had expired before this agent asked, as after a pause. */
  LeaseExpired,
  /** Not taken on: a run of the task for another order has not ended yet. */
  OtherRunActive,
  /** The entry asked for a run whose order never came to this agent. */
  NeverOrdered,
  /** The entry asked for a run that this agent may have forgotten. */
  Forgotten
};

inline constexpr std::array<std::string_view, 14> kEndEvidenceNames{
  "not_called",     "start_refused", "listed_done",   "listed_failed",
  "listed_stopped", "listed_lapsed", "not_listed",    "runner_lost",
  "runner_left",    "runner_silent", "lease_expired", "other_run_active",
  "never_ordered",  "forgotten"
};

/** The evidence's text in logs and metrics. Thread safe. */
constexpr std::string_view
EndEvidenceName(EndEvidence aEvidence)
{
  return kEndEvidenceNames[static_cast<std::size_t>(aEvidence)];
}

/** A run has ended at an agent's runner, or is known never to have started. */
struct RunEnded
{
  EntryId entry;
  SubmissionId job;
  protocol::RunEnd end;
  EndEvidence evidence;
  StopReason stopReason;
  /** Since the stop was decided; 0 if it was not. */
  Milliseconds sinceStop;
  /** Since the last contact with the entry that is known of. */
  Milliseconds sinceContact;
};

}

#endif
