#ifndef Libraries_LibDispatch_AgentPort_h
#define Libraries_LibDispatch_AgentPort_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/Message.h"
#include "LibProtocol/Start.h"

namespace vanillaworks::dispatch {

/** The side effects of an AgentCore; called on the core's thread. */
class AgentPort
{
public:
  virtual ~AgentPort() = default;

  /** Sends a task that the gate has marked as started to the upstream. */
  virtual void RunOnUpstream(const protocol::Start& aTask,
                             MonotonicTime aDeadline) = 0;
  /** Best effort: the core learns of a lost link through OnLinkDown. */
  virtual void SendToEntry(const EntryId& aEntry,
                           protocol::Message aMessage) = 0;
  virtual void CountRefusal(protocol::RefusalReason aReason) = 0;
};

}

#endif
