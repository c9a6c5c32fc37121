#ifndef Libraries_LibProtocol_RunOutcome_h
#define Libraries_LibProtocol_RunOutcome_h

#include <array>
#include <cstdint>
#include <msgpack.hpp>
#include <string_view>

namespace vanillaworks::protocol {

/** How a run ended, or why it never started. */
enum class RunOutcome : int
{
  /** Not ended: the reply to a cancellation with CancelScope::Waiting. */
  StillRunning,
  Done,
  /** It ran and failed, because of the task itself or of the worker. */
  Failed,
  /** It ran in part and was stopped. */
  Stopped,
  /** It made no progress and was stopped. */
  Stuck,
  /** From here to OldRun: it certainly never started. */
  Expired,
  DomainClosed,
  Leaving,
  NoRoom,
  NotRevalidated,
  RefusedByWorker,
  Cancelled,
  /** The worker requires a higher run number. */
  OldRun,
  /** The worker crashed, or was silent until the run's lease was over. */
  RunnerLost,
  /**
   * The start call got no answer and the worker does not list the run. The call
   * may still be carried out, by a later incarnation of the worker at least.
   */
  Unconfirmed,
  /** Not taken on while a run of the task for another entry was active. */
  OtherRunActive
};

inline constexpr std::array<std::string_view, 16> kRunOutcomeNames{
  "runs",    "done",        "failed",      "stopped",
  "stuck",   "expired",     "closed",      "leaving",
  "no_room", "not_vouched", "refused",     "cancelled",
  "old_run", "runner_lost", "unconfirmed", "other_run_active"
};

/** The outcome's text in logs and metrics. Thread safe. */
constexpr std::string_view
RunOutcomeName(RunOutcome aOutcome)
{
  return kRunOutcomeNames[static_cast<std::size_t>(aOutcome)];
}

/** Whether the task never started. Thread safe. */
constexpr bool
NeverStarted(RunOutcome aOutcome)
{
  return aOutcome >= RunOutcome::Expired && aOutcome <= RunOutcome::OldRun;
}

}

MSGPACK_ADD_ENUM(vanillaworks::protocol::RunOutcome)

#endif
