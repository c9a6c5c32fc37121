#ifndef Services_Agent_JobAgentLinks_h
#define Services_Agent_JobAgentLinks_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/ControlView.h"
#include "LibJob/RunKeeper.h"
#include "LibLink/DialSchedule.h"
#include "LibLink/LinkHub.h"
#include "LibLink/LinkObserver.h"
#include "LibService/ControlExchange.h"
#include "LibService/PeerLiveness.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::agent {

/** The links of an agent to the entries. Lives on the event loop's thread. */
class JobAgentLinks final : public link::LinkObserver
{
public:
  /** All references must outlive the links. */
  JobAgentLinks(event_base* aBase,
                std::vector<std::string> aEntries,
                const job::ControlView& aControl,
                service::ControlExchange& aNews,
                job::RunKeeper& aKeeper);

  void Send(const EntryId& aEntry, protocol::Message aMessage);
  /** Call about every 25 ms: dials, heartbeats, status, silent links. */
  void OnTick(MonotonicTime aNow);
  void LearnEntries(const std::vector<std::string>& aAddresses);
  /** Tells all entries at once, as before an end. */
  void SendStatusNow();
  std::size_t Up() const { return byEntry_.size(); }

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
    std::string address;
    bool up = false;
    /** Empty before it has said who it is. */
    EntryId entry;
    std::uint64_t sentStatus = 0;
    /** As it was last described there. */
    std::optional<protocol::UpstreamStatus> described;
    MonotonicTime statusSentAt;
  };

  void SendOn(link::LinkId aLink, Session& aSession, protocol::Message);
  void SendStatus(link::LinkId aLink, Session& aSession, MonotonicTime aNow);
  void DialMissing(MonotonicTime aNow);
  void Beat(link::LinkId aLink, Session& aSession, MonotonicTime aNow);
  void OnResume(link::LinkId aLink,
                Session& aSession,
                const protocol::RunResume& aResume,
                MonotonicTime aNow);
  void OnMessage(Session& aSession,
                 const protocol::Message& aMessage,
                 MonotonicTime aNow);

  const job::ControlView& control_;
  service::ControlExchange& news_;
  job::RunKeeper& keeper_;
  link::LinkHub hub_;
  std::map<std::string, link::DialSchedule> targets_;
  std::map<link::LinkId, Session> sessions_;
  std::map<EntryId, link::LinkId> byEntry_;
};

}

#endif
