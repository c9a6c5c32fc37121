#ifndef Services_Entry_JobEntryLinks_h
#define Services_Entry_JobEntryLinks_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/ControlView.h"
#include "LibJob/JobDispatcher.h"
#include "LibLink/LinkHub.h"
#include "LibLink/LinkObserver.h"
#include "LibService/ControlExchange.h"
#include "LibService/PeerLiveness.h"

#include <map>
#include <string>
#include <vector>

namespace vanillaworks::entry {

/** The links of an entry to the agents. Lives on the event loop's thread. */
class JobEntryLinks final : public link::LinkObserver
{
public:
  /** All references must outlive the links. */
  JobEntryLinks(event_base* aBase,
                EntryId aSelf,
                Incarnation aIncarnation,
                const job::ControlView& aControl,
                service::ControlExchange& aNews,
                job::JobDispatcher& aDispatcher);

  Result<Success, link::ListenError> Listen(const std::string& aAddress)
  {
    return hub_.Listen(aAddress);
  }

  void Send(const UpstreamId& aUpstream, protocol::Message aMessage);
  /** Call about every 25 ms: heartbeats, silent links. */
  void OnTick(MonotonicTime aNow);
  void SetEntries(std::vector<std::string> aAddresses);
  std::size_t Up() const { return byUpstream_.size(); }

  void OnLinkUp(link::LinkId aLink, link::LinkRole aRole) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

private:
  struct Session
  {
    explicit Session(MonotonicTime aNow)
      : watch(aNow)
    {
    }

    service::PeerLiveness watch;
    /** Empty before its hello. */
    UpstreamId upstream;
  };

  void SendOn(link::LinkId aLink, protocol::Message aMessage);
  void OnStatus(link::LinkId aLink,
                Session& aSession,
                const protocol::UpstreamStatus& aStatus,
                MonotonicTime aNow);
  /** One line where it becomes usable, unusable or doubtful. */
  void LogChange(const protocol::UpstreamStatus& aStatus) const;

  EntryId self_;
  Incarnation incarnation_;
  const job::ControlView& control_;
  service::ControlExchange& news_;
  job::JobDispatcher& dispatcher_;
  link::LinkHub hub_;
  std::map<link::LinkId, Session> sessions_;
  std::map<UpstreamId, link::LinkId> byUpstream_;
  std::vector<std::string> entries_;
};

}

#endif
