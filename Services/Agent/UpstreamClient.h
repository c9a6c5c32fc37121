#ifndef Services_Agent_UpstreamClient_h
#define Services_Agent_UpstreamClient_h

#include "LibCore/Time.h"
#include "LibProtocol/Start.h"
#include "LibProtocol/TaskResult.h"

#include <functional>
#include <string>

namespace vanillaworks::agent {

/** The result of running a task on the upstream. */
struct TaskOutcome
{
  protocol::ResultCode code = protocol::ResultCode::Failed;
  std::string payload;
  Microseconds serviceTime{ 0 };
};

/** Runs tasks on this agent's upstream. */
class UpstreamClient
{
public:
  virtual ~UpstreamClient() = default;

  /**
   * Starts the task. Calls aDone exactly once, asynchronously, on the event
   * loop's thread.
   */
  virtual void Run(const protocol::Start& aTask,
                   std::function<void(TaskOutcome)> aDone) = 0;
};

}

#endif
