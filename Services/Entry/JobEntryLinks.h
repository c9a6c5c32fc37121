#ifndef Services_Entry_JobEntryLinks_h
#define Services_Entry_JobEntryLinks_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/ControlView.h"
#include "LibJob/JobDispatcher.h"
#include "LibLink/LinkManager.h"
#include "LibLink/LinkObserver.h"
#include "LibService/ControlExchange.h"
#include "LibService/PeerLiveness.h"

#include <map>
#include <string>
#include <vector>

namespace vanillaworks::entry {

/** The links of an entry to agents. Used only on the event loop's thread. */
class JobEntryLinks final : public link::LinkObserver
{
public:
  /** All referenced objects must outlive this one. */
  JobEntryLinks(event_base* aBase,
                EntryId aSelf,
                Incarnation aIncarnation,
                const job::ControlView& aControl,
                service::ControlExchange& aControlExchange,
                job::JobDispatcher& aDispatcher);

  Result<Success, link::ListenError> Listen(const std::string& aAddress)
  {
    return linkManager_.Listen(aAddress);
  }

  /** Does nothing if the agent has no link. */
  void Send(const UpstreamId& aUpstream, protocol::Message aMessage);
  /** Sends heartbeats and closes silent links. Call about every 25 ms. */
  void OnTick(MonotonicTime aNow);
  /** Sends the list of entries to all agents if it changed. */
  void SetEntries(std::vector<std::string> aAddresses);
  std::size_t LinkCount() const { return linksByUpstream_.size(); }

  void OnLinkUp(link::LinkId aLink, link::LinkDirection aDirection) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

private:
  struct Session
  {
    explicit Session(MonotonicTime aNow)
      : liveness(aNow)
    {
    }

    service::PeerLiveness liveness;
    /** Empty until the agent's first status has arrived. */
    UpstreamId upstream;
  };

  void SendOnLink(link::LinkId aLink, protocol::Message aMessage);
  void OnStatus(link::LinkId aLink,
                Session& aSession,
                const protocol::UpstreamStatus& aStatus,
                MonotonicTime aNow);
  /** Whether aLink is the link in use to aUpstream. */
  bool IsCurrent(const UpstreamId& aUpstream, link::LinkId aLink) const;
  /** Logs a change of whether the upstream accepts tasks or is suspect. */
  void LogStatusChange(const protocol::UpstreamStatus& aStatus) const;

  EntryId self_;
  Incarnation incarnation_;
  const job::ControlView& control_;
  service::ControlExchange& controlExchange_;
  job::JobDispatcher& dispatcher_;
  link::LinkManager linkManager_;
  std::map<link::LinkId, Session> sessions_;
  std::map<UpstreamId, link::LinkId> linksByUpstream_;
  std::vector<std::string> entryAddresses_;
};

}

#endif
