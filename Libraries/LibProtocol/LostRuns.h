#ifndef Libraries_LibProtocol_LostRuns_h
#define Libraries_LibProtocol_LostRuns_h

#include "LibCore/Ids.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** What an agent knows of the loss of its runner. */
enum class LossState : int
{
  /** The runner has been silent until the leases there were over. */
  Suspected,
  /** The runner has crashed: its incarnation is over. */
  Confirmed,
  /** The runner was silent only; the same incarnation answers again. */
  Retracted
};

/** A task that was at work on a runner as it was lost. */
struct LostRun
{
  SubmissionId job;
  std::uint32_t task = 0;
  /** Start time of the lost incarnation of the runner, Unix milliseconds. */
  std::int64_t runnerStartedMs = 0;

  friend bool operator==(const LostRun&, const LostRun&) = default;
  MSGPACK_DEFINE_ARRAY(job, task, runnerStartedMs)
};

/**
 * Agent to every entry: tasks that were at work on its runner as it was lost,
 * whichever entry had ordered them. Sent at once and again on a new link, so
 * that entries know of it when a caller submits a job elsewhere.
 */
struct LostRuns
{
  std::vector<LostRun> runs;
  LossState state = LossState::Confirmed;

  MSGPACK_DEFINE_ARRAY(runs, state)
};

}

MSGPACK_ADD_ENUM(vanillaworks::protocol::LossState)

#endif
