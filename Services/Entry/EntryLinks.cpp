#include "Services/Entry/EntryLinks.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kReconnectDelay{ 500 };
/** A version is fresh for this long after it was last revalidated. */
constexpr Milliseconds kMaxRevalidationAge{ 3000 };

bool
CarriesTask(const protocol::Message& aMessage)
{
  return std::holds_alternative<protocol::Start>(aMessage);
}
}

EntryLinks::EntryLinks(const EntrySettings& aSettings,
                       event_base* aBase,
                       dispatch::ConfigurationHolder& aConfiguration,
                       service::Metrics& aMetrics,
                       EntryLinksListener& aListener)
  : settings_(aSettings)
  , configuration_(aConfiguration)
  , metrics_(aMetrics)
  , listener_(aListener)
  , controlFrames_(aMetrics)
  , linkManager_(aBase, {}, *this)
  , freshness_(aSettings.entry)
{
}

Result<Success, link::ListenError>
EntryLinks::Listen()
{
  return linkManager_.Listen(settings_.linkAddress);
}

void
EntryLinks::SendToAgent(const UpstreamId& aUpstream, protocol::Message aMessage)
{
  auto found = agents_.find(aUpstream);
  if (found != agents_.end()) {
    Send(found->second, sessions_.at(found->second), std::move(aMessage));
  }
}

void
EntryLinks::Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult)
{
  auto found = agents_.find(aUpstream);
  if (found != agents_.end()) {
    sessions_.at(found->second).pendingAcknowledgements.push_back(aResult);
  }
}

void
EntryLinks::FlushAcknowledgements()
{
  for (const auto& [upstream, linkId] : agents_) {
    auto& session = sessions_.at(linkId);
    if (!session.pendingAcknowledgements.empty()) {
      Send(linkId, session, protocol::Heartbeat{ false });
    }
  }
}

protocol::Header
EntryLinks::MakeHeader(Session& aSession)
{
  auto now = MonotonicNow();
  protocol::Header header;
  header.sentAt = ToMicroseconds(now);
  header.echo = aSession.peerSentAt;
  header.version = configuration_.Current()->version;
  auto revalidatedAt = freshness_.RevalidatedAt(now);
  if (revalidatedAt) {
    header.versionAgeUs =
      std::chrono::duration_cast<Microseconds>(now - *revalidatedAt).count();
  }
  header.acknowledged.swap(aSession.pendingAcknowledgements);
  return header;
}

void
EntryLinks::Send(link::LinkId aLink,
                 Session& aSession,
                 protocol::Message aMessage)
{
  if (!CarriesTask(aMessage)) {
    controlFrames_.Count(aMessage);
  }
  linkManager_.Send(aLink, { MakeHeader(aSession), std::move(aMessage) });
}

void
EntryLinks::PushConfiguration(link::LinkId aLink, Session& aSession)
{
  auto current = configuration_.Current();
  bool isNeeded = aSession.peerVersion < current->version &&
                  aSession.pushedVersion < current->version;
  if (isNeeded) {
    aSession.pushedVersion = current->version;
    Send(aLink,
         aSession,
         protocol::ConfigurationUpdate{ current->version, current->text });
  }
}

void
EntryLinks::Adopt(dispatch::ConfigurationDocument aDocument)
{
  auto version = aDocument.version;
  if (configuration_.Adopt(std::move(aDocument)) ==
      dispatch::Adoption::NotNewer) {
    return;
  }
  Log::Write(Event::ConfigurationAdopted,
             { { "version", std::to_string(version.Value()) } });
  for (auto& [linkId, session] : sessions_) {
    bool isKnown =
      !session.upstream.Value().empty() || !session.entry.Value().empty();
    if (isKnown) {
      PushConfiguration(linkId, session);
    }
  }
  listener_.OnConfigurationAdopted();
}

void
EntryLinks::AdoptUpdate(const protocol::ConfigurationUpdate& aUpdate)
{
  auto document =
    dispatch::ConfigurationDocument::Parse(aUpdate.version, aUpdate.document);
  if (!document.IsError()) {
    Adopt(document.ReleaseValue());
  }
}

void
EntryLinks::OnTableRead(MonotonicTime aReadSentAt,
                        const std::vector<dispatch::MemberRow>& aMembers)
{
  freshness_.OnTableRead(aReadSentAt);
  std::set<EntryId> ids;
  std::vector<std::string> addresses;
  for (const auto& member : aMembers) {
    ids.insert(member.identity.entry);
    addresses.push_back(member.address);
  }
  freshness_.SetMembers(std::move(ids));
  members_ = aMembers;
  if (addresses == memberAddresses_) {
    return;
  }
  memberAddresses_ = std::move(addresses);
  for (const auto& [upstream, linkId] : agents_) {
    Send(linkId, sessions_.at(linkId), protocol::EntryList{ memberAddresses_ });
  }
}

void
EntryLinks::ConnectToPeers(MonotonicTime aNow)
{
  for (const auto& member : members_) {
    // Of two entries, the one with the smaller id connects to the other.
    const auto& entry = member.identity.entry;
    if (entry <= settings_.entry || peers_.contains(entry)) {
      continue;
    }
    bool isConnecting = std::any_of(
      sessions_.begin(), sessions_.end(), [&member](const auto& aItem) {
        return aItem.second.address == member.address;
      });
    auto& nextConnectAt = nextConnectAt_[member.address];
    if (isConnecting || aNow < nextConnectAt) {
      continue;
    }
    nextConnectAt = aNow + kReconnectDelay;
    if (auto linkId = linkManager_.Connect(member.address)) {
      auto& session = sessions_[*linkId];
      session.address = member.address;
      session.lastReceived = aNow;
    }
  }
}

void
EntryLinks::OnTick(MonotonicTime aNow)
{
  ConnectToPeers(aNow);
  for (auto& [linkId, session] : sessions_) {
    CheckLiveness(linkId, session, aNow);
  }
}

void
EntryLinks::CheckLiveness(link::LinkId aLink,
                          Session& aSession,
                          MonotonicTime aNow)
{
  auto silentFor = aNow - aSession.lastReceived;
  bool isAgent = !aSession.upstream.Value().empty();
  bool isPeer = !aSession.entry.Value().empty();
  // Frequent contact is needed with an agent that runs tasks of this entry, and
  // with a peer while no recent table read confirms the configuration version.
  // On other links it is enough to detect that the other end is down.
  bool isUrgent =
    isAgent
      ? listener_.HasOutstanding(aSession.upstream)
      : !freshness_.IsTableReadWithin(settings_.heartbeatInterval * 3, aNow);
  if (!isUrgent) {
    aSession.awaitingSince = aNow;
  }
  bool isSilent =
    isUrgent && std::min(silentFor, aNow - aSession.awaitingSince) >
                  settings_.activeSilenceTimeout;
  if (isSilent || silentFor > settings_.silenceTimeout) {
    Log::Write(Event::LinkSilent,
               { { "upstream", aSession.upstream.Value() },
                 { "entry", aSession.entry.Value() } });
    aSession.lastReceived = aNow;
    linkManager_.Close(aLink);
    return;
  }
  // Agents send the heartbeats on their idle links, so entries need not. On an
  // idle link between entries, the entry that opened it sends them.
  bool sendsHeartbeats = isUrgent || (isPeer && !aSession.address.empty());
  auto interval =
    isUrgent ? settings_.heartbeatInterval : settings_.idleHeartbeatInterval;
  if (isAgent) {
    // The agent normally asks for a heartbeat first, as it knows which tasks it
    // was sent.
    interval = settings_.activeSilenceTimeout / 2;
  }
  auto timeSinceContact =
    isPeer && isUrgent ? aNow - FromMicroseconds(aSession.lastEcho) : silentFor;
  bool isDue =
    timeSinceContact >= interval && aNow - aSession.lastHeartbeat >= interval;
  if ((isAgent || isPeer) && sendsHeartbeats && isDue) {
    aSession.lastHeartbeat = aNow;
    Send(aLink, aSession, protocol::Heartbeat{ true });
  }
}

void
EntryLinks::CloseAll()
{
  for (const auto& [linkId, session] : sessions_) {
    linkManager_.Close(linkId);
  }
}

std::size_t
EntryLinks::CountMembersWith(ConfigurationVersion aVersion) const
{
  std::size_t count = 1;
  for (const auto& [entry, linkId] : peers_) {
    bool hasVersion = sessions_.at(linkId).peerVersion >= aVersion;
    count += hasVersion && freshness_.Members().contains(entry) ? 1 : 0;
  }
  return count;
}

std::vector<UpstreamId>
EntryLinks::AgentsWithout(ConfigurationVersion aVersion) const
{
  std::vector<UpstreamId> agents;
  for (const auto& [upstream, linkId] : agents_) {
    if (sessions_.at(linkId).peerVersion < aVersion) {
      agents.push_back(upstream);
    }
  }
  return agents;
}

bool
EntryLinks::IsFresh(MonotonicTime aNow) const
{
  auto revalidatedAt = freshness_.RevalidatedAt(aNow);
  return revalidatedAt && aNow - *revalidatedAt <= kMaxRevalidationAge;
}

void
EntryLinks::OnLinkUp(link::LinkId aLink, link::LinkDirection aDirection)
{
  auto& session = sessions_[aLink];
  session.lastReceived = MonotonicNow();
  session.awaitingSince = session.lastReceived;
  if (aDirection == link::LinkDirection::Outbound) {
    const auto& self = listener_.Self();
    Send(aLink, session, protocol::EntryHello{ self.entry, self.incarnation });
  }
}

void
EntryLinks::OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  session.lastReceived = MonotonicNow();
  OnHeader(aLink, session, aFrame.header);
  if (const auto* update =
        std::get_if<protocol::ConfigurationUpdate>(&aFrame.message)) {
    session.peerVersion = std::max(session.peerVersion, update->version);
    AdoptUpdate(*update);
    // The reply's header confirms the version; its sender may be waiting for
    // that to report the version as in force.
    return Send(aLink, session, protocol::Heartbeat{ false });
  }
  if (const auto* hello = std::get_if<protocol::AgentHello>(&aFrame.message)) {
    return OnAgentHello(aLink, session, *hello);
  }
  if (!session.upstream.Value().empty()) {
    auto current = agents_.find(session.upstream);
    if (current == agents_.end() || current->second != aLink) {
      return;
    }
    const auto* heartbeat = std::get_if<protocol::Heartbeat>(&aFrame.message);
    if (heartbeat && heartbeat->wantsAnswer) {
      Send(aLink, session, protocol::Heartbeat{ false });
    }
    return listener_.OnAgentFrame(session.upstream, aFrame);
  }
  OnPeerFrame(aLink, session, aFrame);
}

void
EntryLinks::OnHeader(link::LinkId aLink,
                     Session& aSession,
                     const protocol::Header& aHeader)
{
  aSession.peerSentAt = aHeader.sentAt;
  aSession.lastEcho = std::max(aSession.lastEcho, aHeader.echo);
  aSession.peerVersion = std::max(aSession.peerVersion, aHeader.version);
  bool isKnown =
    !aSession.upstream.Value().empty() || !aSession.entry.Value().empty();
  if (isKnown) {
    PushConfiguration(aLink, aSession);
  }
}

void
EntryLinks::OnAgentHello(link::LinkId aLink,
                         Session& aSession,
                         const protocol::AgentHello& aHello)
{
  auto older = agents_.find(aHello.upstream);
  if (older != agents_.end() && older->second != aLink) {
    auto olderLink = older->second;
    agents_.erase(older);
    sessions_.erase(olderLink);
    linkManager_.Close(olderLink);
    listener_.OnAgentDown(aHello.upstream);
  }
  aSession.upstream = aHello.upstream;
  agents_[aHello.upstream] = aLink;
  auto outstanding = listener_.OnAgentHello(aHello);
  const auto& self = listener_.Self();
  Send(
    aLink,
    aSession,
    protocol::Welcome{
      self.entry, self.incarnation, std::move(outstanding), memberAddresses_ });
  PushConfiguration(aLink, aSession);
  listener_.OnAgentReady(aHello);
}

void
EntryLinks::OnPeerFrame(link::LinkId aLink,
                        Session& aSession,
                        const protocol::Frame& aFrame)
{
  if (const auto* hello = std::get_if<protocol::EntryHello>(&aFrame.message)) {
    RegisterPeer(aLink, aSession, hello->entry);
    const auto& self = listener_.Self();
    Send(
      aLink,
      aSession,
      protocol::Welcome{ self.entry, self.incarnation, {}, memberAddresses_ });
  } else if (const auto* welcome =
               std::get_if<protocol::Welcome>(&aFrame.message)) {
    RegisterPeer(aLink, aSession, welcome->entry);
  }
  if (aSession.entry.Value().empty()) {
    return;
  }
  // At some time after the echoed send time the peer had this version and no
  // newer one. A newer one would be pushed to this entry on the same link.
  bool hasNoNewer = aFrame.header.version <= configuration_.Current()->version;
  if (aSession.lastEcho != 0 && hasNoNewer) {
    freshness_.OnPeerContact(aSession.entry,
                             FromMicroseconds(aSession.lastEcho));
  }
  const auto* heartbeat = std::get_if<protocol::Heartbeat>(&aFrame.message);
  if (heartbeat && heartbeat->wantsAnswer) {
    Send(aLink, aSession, protocol::Heartbeat{ false });
  }
}

void
EntryLinks::RegisterPeer(link::LinkId aLink,
                         Session& aSession,
                         const EntryId& aEntry)
{
  auto older = peers_.find(aEntry);
  if (older != peers_.end() && older->second != aLink) {
    linkManager_.Close(older->second);
    sessions_.erase(older->second);
  }
  aSession.entry = aEntry;
  peers_[aEntry] = aLink;
  PushConfiguration(aLink, aSession);
}

void
EntryLinks::OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason)
{
  if (aReason == link::LinkCloseReason::BadFrame) {
    metrics_.Counter("vanillaworks_bad_frames_total").Increment();
    Log::Write(Event::FrameRefused);
  }
  if (aReason == link::LinkCloseReason::QueueFull) {
    Log::Write(Event::LinkQueueFull);
  }
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto session = std::move(found->second);
  sessions_.erase(found);
  auto peer = peers_.find(session.entry);
  if (peer != peers_.end() && peer->second == aLink) {
    peers_.erase(peer);
  }
  auto agent = agents_.find(session.upstream);
  if (agent != agents_.end() && agent->second == aLink) {
    agents_.erase(agent);
    Log::Write(Event::LinkClosed,
               { { "upstream", session.upstream.Value() },
                 { "reason", std::string(LinkCloseReasonName(aReason)) } });
    listener_.OnAgentDown(session.upstream);
  }
}

}
