#ifndef Services_Entry_EntryLinksListener_h
#define Services_Entry_EntryLinksListener_h

#include "LibDispatch/EntryIdentity.h"
#include "LibProtocol/AgentHello.h"
#include "LibProtocol/Frame.h"
#include "LibProtocol/TaskKey.h"

#include <vector>

namespace vanillaworks::entry {

/** Receives the events of agents' links, on the event loop's thread. */
class EntryLinksListener
{
public:
  virtual ~EntryLinksListener() = default;

  /** This entry's id and current incarnation. */
  virtual const dispatch::EntryIdentity& Self() const = 0;
  /** Returns the tasks whose outcome is awaited from that agent. */
  virtual std::vector<protocol::TaskKey> OnAgentHello(
    const protocol::AgentHello& aHello) = 0;
  /** The agent's link can be used, as its Welcome has been sent. */
  virtual void OnAgentReady(const protocol::AgentHello& aHello) = 0;
  virtual void OnAgentFrame(const UpstreamId& aUpstream,
                            const protocol::Frame& aFrame) = 0;
  virtual void OnAgentDown(const UpstreamId& aUpstream) = 0;
  /** Whether the result of any task is awaited from that agent. */
  virtual bool HasOutstanding(const UpstreamId& aUpstream) const = 0;
  virtual void OnConfigurationAdopted() = 0;
};

}

#endif
