#ifndef Libraries_LibJob_JobRequest_h
#define Libraries_LibJob_JobRequest_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/Resources.h"
#include "LibProtocol/RouteRow.h"

#include <cstdint>
#include <string>

namespace vanillaworks::job {

/** A job of one step that is not persisted; its caller waits for the end. */
struct JobRequest
{
  SubmissionId id;
  protocol::RouteRow route;
  std::string spec;
  std::uint32_t tasks = 1;
  /** Resources that each task needs. */
  Resources demand;
  /** Run time of a task on an ordinary worker, as the sender estimates it. */
  Milliseconds estimate{ 0 };
  /** Label that the worker must have; empty for any worker. */
  std::string requiredLabel;
  /** Label of the rack whose workers have the data; empty for none. */
  std::string dataRack;
  /** Maximum number of the job's tasks on one worker; 0 for no limit. */
  std::uint32_t maxPerWorker = 0;
  MonotonicTime arrival;
  /** When the caller stops waiting. */
  MonotonicTime deadline;

  /**
   * The time by which the job should end according to its route's latency
   * target.
   */
  MonotonicTime Goal() const
  {
    auto run = static_cast<double>(estimate.count()) * route.stretch;
    return arrival +
           Milliseconds(static_cast<std::int64_t>(run) + route.targetLatencyMs);
  }
};

}

#endif
