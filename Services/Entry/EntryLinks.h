#ifndef Services_Entry_EntryLinks_h
#define Services_Entry_EntryLinks_h

#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/MemberTable.h"
#include "LibDispatch/VersionFreshness.h"
#include "LibLink/LinkHub.h"
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
  void OnTableRead(MonotonicTime aReadSentAt,
                   const std::vector<dispatch::MemberRow>& aMembers);

  /** Call about every 50 ms. */
  void OnTick(MonotonicTime aNow);

  /** All links are made anew; for a new incarnation. */
  void CloseAll();

  /** Members, this one included, that are known to have the version. */
  std::size_t CountMembersWith(ConfigurationVersion aVersion) const;
  std::size_t MajoritySize() const { return freshness_.MajoritySize(); }
  std::size_t MemberCount() const { return freshness_.Members().size(); }
  /** Linked agents that are not known to have the version. */
  std::vector<UpstreamId> AgentsWithout(ConfigurationVersion aVersion) const;
  std::size_t LinkCount() const { return agents_.size() + peers_.size(); }
  const link::LinkHub& Manager() const { return linkManager_; }
  bool IsFresh(MonotonicTime aNow) const;

  void OnLinkUp(link::LinkId aLink, link::LinkRole aRole) override;
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
    std::int64_t lastEcho = 0;
    ConfigurationVersion peerVersion;
    ConfigurationVersion pushedVersion;
    MonotonicTime lastReceived;
    MonotonicTime lastHeartbeat;
    /** Since when a frame from the other end has been due. */
    MonotonicTime awaitingSince;
    std::vector<std::uint64_t> pendingAcknowledgements;
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
  void AdoptUpdate(const protocol::ConfigurationUpdate& aUpdate);
  void PushConfiguration(link::LinkId aLink, Session& aSession);
  void CheckLiveness(link::LinkId aLink, Session& aSession, MonotonicTime aNow);
  void ConnectToPeers(MonotonicTime aNow);
  void RegisterPeer(link::LinkId aLink,
                    Session& aSession,
                    const EntryId& aEntry);

  const EntrySettings& settings_;
  dispatch::ConfigurationHolder& configuration_;
  service::Metrics& metrics_;
  EntryLinksListener& listener_;
  service::ControlFrameCounter controlFrames_;
  link::LinkHub linkManager_;
  dispatch::VersionFreshness freshness_;
  std::map<link::LinkId, Session> sessions_;
  std::map<UpstreamId, link::LinkId> agents_;
  std::map<EntryId, link::LinkId> peers_;
  std::vector<dispatch::MemberRow> members_;
  std::vector<std::string> memberAddresses_;
  std::map<std::string, MonotonicTime> nextConnectAt_;
};

}

#endif
