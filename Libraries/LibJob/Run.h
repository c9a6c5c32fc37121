#ifndef Libraries_LibJob_Run_h
#define Libraries_LibJob_Run_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/Room.h"
#include "LibJob/RunnerCalls.h"
#include "LibProtocol/RunOutcome.h"

#include <cstdint>
#include <string>

namespace vanillaworks::job {

enum class RunPhase : std::uint8_t
{
  Queued,
  /** The runner was told; its answer is awaited. */
  Starting,
  /** There was no answer: it may run, or start yet. */
  Uncertain,
  Running
};

/** From this progress on it tells how long a run takes as a whole. */
inline constexpr int kTellingPercent = 8;
inline constexpr int kWholePercent = 100;

/** One run at an agent, from its order until its end is certain. */
struct Run
{
  RunKey key;
  EntryId entry;
  std::string spec;
  Room room;
  std::uint32_t priority = 0;
  Milliseconds estimate{ 0 };
  MonotonicTime startBy;
  /** Order of arrival. */
  std::uint64_t arrival = 0;
  RunPhase phase = RunPhase::Queued;
  MonotonicTime calledAt;
  /** Start calls so far: one without an answer is made again. */
  std::uint32_t tries = 0;
  std::uint32_t stopTries = 0;
  /** When the runner's answer to the start came. */
  MonotonicTime startedAt;
  int percent = 0;
  MonotonicTime progressAt;
  /** It is to be stopped; what to report when it has ended so. */
  bool stopping = false;
  protocol::RunOutcome stopAs = protocol::RunOutcome::Stopped;
  /** A stop's answer is awaited. */
  bool stopCalled = false;
  /** When the runner took the stop; nothing before that. */
  MonotonicTime stopAcceptedAt;

  /** Whether it takes room at the runner, or may. */
  bool TakesRoom() const { return phase != RunPhase::Queued; }
};

}

#endif
