#ifndef Libraries_LibJob_JobDispatcherPort_h
#define Libraries_LibJob_JobDispatcherPort_h

#include "LibCore/Ids.h"
#include "LibJob/JobAnswer.h"
#include "LibJob/JobEvent.h"
#include "LibJob/JobRequest.h"
#include "LibProtocol/Message.h"

namespace vanillaworks::job {

/** The effects of a JobDispatcher; called on the dispatcher's thread. */
class JobDispatcherPort
{
public:
  virtual ~JobDispatcherPort() = default;

  virtual void SendToAgent(const UpstreamId& aUpstream,
                           protocol::Message aMessage) = 0;
  virtual void Answer(WaiterId aWaiter,
                      const JobRequest& aJob,
                      const JobAnswer& aAnswer) = 0;
  /** A job waits for room: call OnWake() in a few milliseconds. */
  virtual void WakeSoon() = 0;
  /** For logs and metrics only. */
  virtual void OnPlaced(const TaskPlaced& aEvent) = 0;
  virtual void OnEnded(const TaskEnded& aEvent) = 0;
};

}

#endif
