#ifndef Services_Entry_EntryLinks_h
#define Services_Entry_EntryLinks_h

#include "LibDispatch/ConfigurationHolder.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/MembershipView.h"
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
 * The links of an entry to agents and to other entries. Handles handshakes and
 * heartbeats and propagates configuration versions. Used only on the event
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

  /** Accepts links on the configured link address. */
  Result<Success, link::ListenError> Listen();

  /** Does nothing if the agent has no link. */
  void SendToAgent(const UpstreamId& aUpstream, protocol::Message aMessage);
  /**
   * Queues an acknowledgement for the header of the next frame to that agent.
   * Does nothing if the agent has no link.
   */
  void Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult);

  /** Sends a heartbeat to each agent for which acknowledgements are queued. */
  void FlushAcknowledgements();

  /**
   * Adopts a document from any source if its version is newer, and pushes it to
   * every identified agent and peer.
   */
  void Adopt(dispatch::ConfigurationDocument aDocument);

  /**
   * Records a successful poll of the table and sends agents the list of entries
   * if it changed. aReadSentAt: when the read was sent.
   */
  void OnTableRead(MonotonicTime aReadSentAt,
                   const std::vector<dispatch::MemberRow>& aMembers);

  /** Connects to peers and checks all links. Call about every 50 ms. */
  void OnTick(MonotonicTime aNow);

  /** Closes all links, so that new ones begin under a new incarnation. */
  void CloseAll();

  /** The number of members, this one included, known to have the version. */
  std::size_t CountMembersWith(ConfigurationVersion aVersion) const;
  /** The number of members, this one included, that form a majority. */
  std::size_t MajoritySize() const { return freshness_.MajoritySize(); }
  /** The number of entries with a row in the table, this one included. */
  std::size_t MemberCount() const { return freshness_.Members().size(); }
  /** Agents with a link that are not known to have the version. */
  std::vector<UpstreamId> AgentsWithout(ConfigurationVersion aVersion) const;
  std::size_t LinkCount() const { return agents_.size() + peers_.size(); }
  const link::LinkManager& Manager() const { return linkManager_; }
  /** Whether this entry can confirm that no newer version is in force. */
  bool IsFresh(MonotonicTime aNow) const;

  void OnLinkUp(link::LinkId aLink, link::LinkDirection aDirection) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

private:
  struct Session
  {
    /** Empty until the agent's hello has arrived. */
    UpstreamId upstream;
    /** Empty until the other entry's hello or welcome has arrived. */
    EntryId entry;
    /** Set only on links that this process opens. */
    std::string address;
    /**
     * The send time in the last header received, in microseconds of the peer's
     * clock.
     */
    std::int64_t peerSentAt = 0;
    /**
     * The newest send time echoed by the peer, in microseconds of this
     * process's clock.
     */
    std::int64_t lastEcho = 0;
    ConfigurationVersion peerVersion;
    ConfigurationVersion pushedVersion;
    MonotonicTime lastReceived;
    MonotonicTime lastHeartbeat;
    /** The time since which a frame from the other end has been awaited. */
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
  /** Sends the current configuration unless the peer has it or was sent it. */
  void PushConfiguration(link::LinkId aLink, Session& aSession);
  /** Closes the link if it is silent, else sends a heartbeat if one is due. */
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
  link::LinkManager linkManager_;
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
