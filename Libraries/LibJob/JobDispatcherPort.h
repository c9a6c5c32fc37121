#ifndef Libraries_LibJob_JobDispatcherPort_h
#define Libraries_LibJob_JobDispatcherPort_h

#include "LibCore/Ids.h"
#include "LibJob/JobAnswer.h"
#include "LibJob/JobEvent.h"
#include "LibJob/JobRequest.h"
#include "LibProtocol/Message.h"

namespace vanillaworks::job {

/** Effects of a JobDispatcher. All functions are called on its thread. */
class JobDispatcherPort
{
public:
  virtual ~JobDispatcherPort() = default;

  virtual void SendToAgent(const UpstreamId& aUpstream,
                           protocol::Message aMessage) = 0;
  virtual void Answer(WaiterId aWaiter,
                      const JobRequest& aJob,
                      const JobAnswer& aAnswer) = 0;
  /**
   * Whether the caller is still connected, checked now. A request may have
   * waited in a socket while this process did not run.
   */
  virtual bool IsCallerConnected(WaiterId aWaiter) = 0;
  /**
   * Requests a call of OnWake() in a few milliseconds, because a job waits for
   * capacity.
   */
  virtual void ScheduleWake() = 0;
  /** For logs and metrics only. */
  virtual void OnPlaced(const TaskPlaced& aEvent) = 0;
  virtual void OnEnded(const TaskEnded& aEvent) = 0;
  virtual void OnReleased(const TaskReleased& aEvent) = 0;
};

}

#endif
