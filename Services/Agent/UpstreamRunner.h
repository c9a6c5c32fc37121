#ifndef Services_Agent_UpstreamRunner_h
#define Services_Agent_UpstreamRunner_h

#include "LibCore/Time.h"
#include "LibProtocol/Start.h"
#include "LibProtocol/TaskResult.h"

#include <functional>
#include <string>

namespace vanillaworks::agent {

/** What an upstream made of a task. */
struct RunOutcome
{
  protocol::ResultCode code = protocol::ResultCode::Failed;
  std::string payload;
  Microseconds service{ 0 };
};

/** Runs tasks on the upstream beside this process. */
class UpstreamRunner
{
public:
  virtual ~UpstreamRunner() = default;

  /** Calls back once, later, on the event loop's thread. */
  virtual void Run(const protocol::Start& aTask,
                   std::function<void(RunOutcome)> aDone) = 0;
};

}

#endif
