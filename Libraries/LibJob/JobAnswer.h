#ifndef Libraries_LibJob_JobAnswer_h
#define Libraries_LibJob_JobAnswer_h

#include "LibCore/Time.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace vanillaworks::job {

enum class JobState : std::uint8_t
{
  Completed,
  /** A task failed as often as its route allows. */
  Failed,
  Cancelled,
  /** It is certain that no task started and that none will start. */
  Rejected,
  /** The entry gave up after tasks may have run. */
  GivenUp
};

enum class JobReason : std::uint8_t
{
  None,
  /** No worker can finish the job in time. */
  TooLate,
  /**
   * No worker of the service is reachable, or the job exceeds the capacity of
   * each of them.
   */
  NoWorker,
  /** This process is shutting down. */
  Stopping,
  /** The deadline passed. */
  Deadline,
  /** The caller or another client cancelled the job. */
  ByCaller,
  AttemptsSpent,
  /** A task was at work on several runners as they were lost. */
  RunnersLost
};

inline constexpr std::array<std::string_view, 8> kJobReasonNames{
  "none",     "too_late",  "no_worker",      "stopping",
  "deadline", "by_caller", "attempts_spent", "runners_lost"
};

/** Thread safe. */
constexpr std::string_view
JobReasonName(JobReason aReason)
{
  return kJobReasonNames[static_cast<std::size_t>(aReason)];
}

struct JobAnswer
{
  JobState state = JobState::Completed;
  JobReason reason = JobReason::None;
  /** For Rejected: when capacity is expected to be available; 0 if unknown. */
  Milliseconds retryAfter{ 0 };
  /** How many runs of the job this entry has ordered. For logs only. */
  std::uint32_t orders = 0;
};

}

#endif
