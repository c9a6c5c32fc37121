#ifndef Services_Entry_EntryLinks_h
#define Services_Entry_EntryLinks_h

#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/MemberTable.h"
#include "LibDispatch/VersionFreshness.h"
#include "LibLink/LinkManager.h"
#include "LibService/ControlFrameCounter.h"
#include "LibService/Metrics.h"
#include "Services/Entry/EntryLinksListener.h"
#include "Services/Entry/EntrySettings.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::entry {

/**
 * The links of an entry to agents and to other entries: handshakes,
 * heartbeats, and the spread of configuration versions. Lives on the event
 * loop's thread.
 */
class EntryLinks final : public link::LinkObserver
{
public:
  EntryLinks(const EntrySettings& aSettings,
             event_base* aBase,
             dispatch::ConfigurationHolder& aConfiguration,
             service::Metrics& aMetrics,
             EntryLinksListener& aListener);

  Result<Success, link::ListenError> Listen();

  void SendToAgent(const UpstreamId& aUpstream, protocol::Message aMessage);
  /** Travels with the next frame to that agent. */
  void Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult);

  /** Sends what is to be acknowledged and waits for a frame. */
  void FlushAcknowledgements();

  /** Parses and adopts a document that came from anywhere. */
  void Adopt(dispatch::ConfigurationDocument aDocument);

  /** After a poll of the table. */
  void OnTableRead(MonotonicTime aStarted,
                   const std::vector<dispatch::MemberRow>& aMembers);

  /** Call about every 50 ms. */
  void OnTick(MonotonicTime aNow);

  /** All links are made anew; for a new incarnation. */
  void CloseAll();

  /** Members, this one included, that are known to have the version. */
  std::size_t MembersWith(ConfigurationVersion aVersion) const;
  std::size_t Majority() const { return freshness_.MajoritySize(); }
  std::size_t Members() const { return freshness_.Members().size(); }
  /** Linked agents that are not known to have the version. */
  std::vector<UpstreamId> AgentsWithout(ConfigurationVersion aVersion) const;
  std::size_t UpLinks() const { return agents_.size() + peers_.size(); }
  const link::LinkManager& Hub() const { return hub_; }
  bool IsFresh(MonotonicTime aNow) const;

  void OnLinkUp(link::LinkId aLink, link::LinkDirection aRole) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

private:
  struct Session
  {
    /** Set once an agent said who it is. */
    UpstreamId upstream;
    /** Set once an entry said who it is. */
    EntryId entry;
    /** For links that this process dials. */
    std::string address;
    std::int64_t peerSentAt = 0;
    std::int64_t echoed = 0;
    ConfigurationVersion peerVersion;
    ConfigurationVersion pushedVersion;
    MonotonicTime lastReceived;
    MonotonicTime lastHeartbeat;
    /** Since when a frame from the other end has been due. */
    MonotonicTime awaitingSince;
    std::vector<std::uint64_t> acknowledged;
  };

  void Send(link::LinkId aLink, Session& aSession, protocol::Message aMessage);
  protocol::Header MakeHeader(Session& aSession);
  void OnAgentHello(link::LinkId aLink,
                    Session& aSession,
                    const protocol::AgentHello& aHello);
  void OnPeerFrame(link::LinkId aLink,
                   Session& aSession,
                   const protocol::Frame& aFrame);
  void OnHeader(link::LinkId aLink,
                Session& aSession,
                const protocol::Header& aHeader);
  void LearnDocument(const protocol::ConfigurationUpdate& aUpdate);
  void Push(link::LinkId aLink, Session& aSession);
  void Beat(link::LinkId aLink, Session& aSession, MonotonicTime aNow);
  void DialPeers(MonotonicTime aNow);
  void SetPeer(link::LinkId aLink, Session& aSession, const EntryId& aEntry);

  const EntrySettings& settings_;
  dispatch::ConfigurationHolder& configuration_;
  service::Metrics& metrics_;
  EntryLinksListener& listener_;
  service::ControlFrameCounter controlFrames_;
  link::LinkManager hub_;
  dispatch::VersionFreshness freshness_;
  std::map<link::LinkId, Session> sessions_;
  std::map<UpstreamId, link::LinkId> agents_;
  std::map<EntryId, link::LinkId> peers_;
  std::vector<dispatch::MemberRow> members_;
  std::vector<std::string> addresses_;
  std::map<std::string, MonotonicTime> nextDial_;
};

}

#endif
