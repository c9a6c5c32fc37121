#ifndef Libraries_LibJob_RunnerCalls_h
#define Libraries_LibJob_RunnerCalls_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/RunTask.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::job {

/** Identifies one run of one task at a runner. */
struct RunKey
{
  SubmissionId job;
  protocol::RunTask task;

  friend bool operator==(const RunKey&, const RunKey&) = default;
  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

/** The incarnation of a runner that a call is addressed to. */
struct RunnerTarget
{
  std::string id;
  std::string address;
  std::uint64_t token = 0;
};

struct StartCall
{
  RunnerTarget target;
  RunKey key;
  std::string spec;
  /** End of the lease of all runs there, on the runner's clock. */
  std::int64_t leaseUntilMs = 0;
  Milliseconds timeout{ 0 };
};

enum class StartResult : std::uint8_t
{
  Started,
  /**
   * Refused: it is certain that this call started nothing. The same holds for
   * OldRun and Fenced.
   */
  NoRoom,
  OldRun,
  Fenced,
  /** The lease in the call had expired. */
  Late,
  /** The runner is unhealthy and started nothing. */
  Unhealthy,
  /** Another incarnation answered, or the runner couldn't parse the call. */
  Rejected,
  /** The runner could not be reached; nothing was sent. */
  NotReached,
  /** There was no answer; the run may still start. */
  Unknown
};

struct StopCall
{
  RunnerTarget target;
  RunKey key;
  Milliseconds timeout{ 0 };
};

enum class StopResult : std::uint8_t
{
  /** The run has ended or can't start any more in this incarnation. */
  Accepted,
  /** Another incarnation answered. */
  OtherIncarnation,
  Fenced,
  Unknown
};

struct HoldCall
{
  RunnerTarget target;
  std::int64_t leaseUntilMs = 0;
  /** Number of the latest end that the runner may discard. */
  std::uint64_t lastSeen = 0;
  /** How long the runner may delay its answer until a run ends. */
  Milliseconds wait{ 0 };
};

enum class HoldResult : std::uint8_t
{
  Answered,
  OtherIncarnation,
  Fenced,
  /** The runner could not be reached; nothing was sent. */
  NotReached,
  Unknown
};

struct RunningRow
{
  RunKey key;
  /** Progress in percent, 0 to 100. */
  int percent = 0;
};

enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  Lapsed
};

struct FinishedRow
{
  std::uint64_t number = 0;
  RunKey key;
  EndKind kind = EndKind::Done;
};

struct HoldAnswer
{
  HoldResult result = HoldResult::Unknown;
  std::int64_t clockMs = 0;
  std::int64_t startedMs = 0;
  std::vector<RunningRow> running;
  std::vector<FinishedRow> finished;
  /**
   * Whether both lists were there and each of their rows could be read. Only
   * then is a run that isn't listed known not to be active.
   */
  bool isComplete = true;
};

}

#endif
