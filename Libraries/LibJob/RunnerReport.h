#ifndef Libraries_LibJob_RunnerReport_h
#define Libraries_LibJob_RunnerReport_h

#include "LibCore/Ids.h"
#include "LibJob/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::job {

enum class RunnerState : std::uint8_t
{
  Ready,
  /** The runner accepts no new runs and shuts down soon. */
  Draining
};

/** A runner's regular report about itself. */
struct RunnerReport
{
  std::string id;
  /**
   * Start of this incarnation in Unix milliseconds; identifies the incarnation.
   */
  std::int64_t startedMs = 0;
  /** Increases with each report of one incarnation. */
  std::uint64_t sequence = 0;
  std::string service;
  /** "host:port" at which the runner accepts calls. */
  std::string address;
  FailureDomainId domain;
  std::vector<std::string> labels;
  Resources capacity;
  RunnerState state = RunnerState::Ready;
  /** The runner's own clock, in milliseconds. */
  std::int64_t clockMs = 0;
  /**
   * Run time relative to the senders' estimates, in thousandths, as an agent
   * has learned it; 0 if unknown. Only saved reports carry it.
   */
  std::int64_t learnedSlowness = 0;
  /**
   * Not reported: derived from the former incarnation's report when the next
   * one answered a call. Its capacity is not known.
   */
  bool isInferred = false;
};

}

#endif
