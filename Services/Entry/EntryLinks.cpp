#include "Services/Entry/EntryLinks.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kRedial{ 500 };
/** Older news than this does not vouch for a version. */
constexpr Milliseconds kMaxVouchAge{ 3000 };

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
  , hub_(aBase, {}, *this)
  , freshness_(aSettings.entry)
{
}

Result<Success, link::ListenError>
EntryLinks::Listen()
{
  return hub_.Listen(settings_.linkAddress);
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
    sessions_.at(found->second).acknowledged.push_back(aResult);
  }
}

void
EntryLinks::FlushAcknowledgements()
{
  for (const auto& [upstream, linkId] : agents_) {
    auto& session = sessions_.at(linkId);
    if (!session.acknowledged.empty()) {
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
  auto vouched = freshness_.VouchedAt(now);
  if (vouched) {
    header.versionAgeUs =
      std::chrono::duration_cast<Microseconds>(now - *vouched).count();
  }
  header.acknowledged.swap(aSession.acknowledged);
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
  hub_.Send(aLink, { MakeHeader(aSession), std::move(aMessage) });
}

void
EntryLinks::Push(link::LinkId aLink, Session& aSession)
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
      Push(linkId, session);
    }
  }
  listener_.OnConfigurationAdopted();
}

void
EntryLinks::LearnDocument(const protocol::ConfigurationUpdate& aUpdate)
{
  auto document =
    dispatch::ConfigurationDocument::Parse(aUpdate.version, aUpdate.document);
  if (!document.IsError()) {
    Adopt(document.ReleaseValue());
  }
}

void
EntryLinks::OnTableRead(MonotonicTime aStarted,
                        const std::vector<dispatch::MemberRow>& aMembers)
{
  freshness_.OnTableRead(aStarted);
  std::set<EntryId> ids;
  std::vector<std::string> addresses;
  for (const auto& member : aMembers) {
    ids.insert(member.identity.entry);
    addresses.push_back(member.address);
  }
  freshness_.SetMembers(std::move(ids));
  members_ = aMembers;
  if (addresses == addresses_) {
    return;
  }
  addresses_ = std::move(addresses);
  for (const auto& [upstream, linkId] : agents_) {
    Send(linkId, sessions_.at(linkId), protocol::EntryList{ addresses_ });
  }
}

void
EntryLinks::DialPeers(MonotonicTime aNow)
{
  for (const auto& member : members_) {
    // Of two entries the one with the smaller name dials.
    const auto& entry = member.identity.entry;
    if (entry <= settings_.entry || peers_.contains(entry)) {
      continue;
    }
    bool isDialling = std::any_of(
      sessions_.begin(), sessions_.end(), [&member](const auto& aItem) {
        return aItem.second.address == member.address;
      });
    auto& next = nextDial_[member.address];
    if (isDialling || aNow < next) {
      continue;
    }
    next = aNow + kRedial;
    if (auto linkId = hub_.Dial(member.address)) {
      auto& session = sessions_[*linkId];
      session.address = member.address;
      session.lastReceived = aNow;
    }
  }
}

void
EntryLinks::OnTick(MonotonicTime aNow)
{
  DialPeers(aNow);
  for (auto& [linkId, session] : sessions_) {
    Beat(linkId, session, aNow);
  }
}

void
EntryLinks::Beat(link::LinkId aLink, Session& aSession, MonotonicTime aNow)
{
  auto quiet = aNow - aSession.lastReceived;
  bool isAgent = !aSession.upstream.Value().empty();
  bool isPeer = !aSession.entry.Value().empty();
  // An agent with work of ours, and a peer while the table does not vouch for
  // the version, must be heard often; others only show that they live.
  bool isUrgent =
    isAgent ? listener_.HasOutstanding(aSession.upstream)
            : !freshness_.IsTableReadWithin(settings_.heartbeat * 3, aNow);
  if (!isUrgent) {
    aSession.awaitingSince = aNow;
  }
  bool isSilent = isUrgent && std::min(quiet, aNow - aSession.awaitingSince) >
                                settings_.workSilence;
  if (isSilent || quiet > settings_.silence) {
    Log::Write(Event::LinkSilent,
               { { "upstream", aSession.upstream.Value() },
                 { "entry", aSession.entry.Value() } });
    aSession.lastReceived = aNow;
    hub_.Close(aLink);
    return;
  }
  // Agents keep idle links alive, so that entries need not.
  bool isOurs = isUrgent || (isPeer && !aSession.address.empty());
  auto interval = isUrgent ? settings_.heartbeat : settings_.idleHeartbeat;
  if (isAgent) {
    // The agent asks first, as it knows what it was sent.
    interval = settings_.workSilence / 2;
  }
  auto since =
    isPeer && isUrgent ? aNow - FromMicroseconds(aSession.echoed) : quiet;
  bool isDue = since >= interval && aNow - aSession.lastHeartbeat >= interval;
  if ((isAgent || isPeer) && isOurs && isDue) {
    aSession.lastHeartbeat = aNow;
    Send(aLink, aSession, protocol::Heartbeat{ true });
  }
}

void
EntryLinks::CloseAll()
{
  for (const auto& [linkId, session] : sessions_) {
    hub_.Close(linkId);
  }
}

std::size_t
EntryLinks::MembersWith(ConfigurationVersion aVersion) const
{
  std::size_t count = 1;
  for (const auto& [entry, linkId] : peers_) {
    bool has = sessions_.at(linkId).peerVersion >= aVersion;
    count += has && freshness_.Members().contains(entry) ? 1 : 0;
  }
  return count;
}

std::vector<UpstreamId>
EntryLinks::AgentsWithout(ConfigurationVersion aVersion) const
{
  std::vector<UpstreamId> without;
  for (const auto& [upstream, linkId] : agents_) {
    if (sessions_.at(linkId).peerVersion < aVersion) {
      without.push_back(upstream);
    }
  }
  return without;
}

bool
EntryLinks::IsFresh(MonotonicTime aNow) const
{
  auto vouched = freshness_.VouchedAt(aNow);
  return vouched && aNow - *vouched <= kMaxVouchAge;
}

void
EntryLinks::OnLinkUp(link::LinkId aLink, link::LinkRole aRole)
{
  auto& session = sessions_[aLink];
  session.lastReceived = MonotonicNow();
  session.awaitingSince = session.lastReceived;
  if (aRole == link::LinkRole::Dialled) {
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
    LearnDocument(*update);
    // The sender may be waiting to tell an operator that it is in force.
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
  aSession.echoed = std::max(aSession.echoed, aHeader.echo);
  aSession.peerVersion = std::max(aSession.peerVersion, aHeader.version);
  bool isKnown =
    !aSession.upstream.Value().empty() || !aSession.entry.Value().empty();
  if (isKnown) {
    Push(aLink, aSession);
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
    hub_.Close(olderLink);
    listener_.OnAgentDown(aHello.upstream);
  }
  aSession.upstream = aHello.upstream;
  agents_[aHello.upstream] = aLink;
  auto outstanding = listener_.OnAgentHello(aHello);
  const auto& self = listener_.Self();
  Send(aLink,
       aSession,
       protocol::Welcome{
         self.entry, self.incarnation, std::move(outstanding), addresses_ });
  Push(aLink, aSession);
  listener_.OnAgentReady(aHello);
}

void
EntryLinks::OnPeerFrame(link::LinkId aLink,
                        Session& aSession,
                        const protocol::Frame& aFrame)
{
  if (const auto* hello = std::get_if<protocol::EntryHello>(&aFrame.message)) {
    SetPeer(aLink, aSession, hello->entry);
    const auto& self = listener_.Self();
    Send(aLink,
         aSession,
         protocol::Welcome{ self.entry, self.incarnation, {}, addresses_ });
  } else if (const auto* welcome =
               std::get_if<protocol::Welcome>(&aFrame.message)) {
    SetPeer(aLink, aSession, welcome->entry);
  }
  if (aSession.entry.Value().empty()) {
    return;
  }
  // At some time after the echoed one the peer had this version and no newer
  // one; a newer one is pushed to us on this very link.
  bool hasNoNewer = aFrame.header.version <= configuration_.Current()->version;
  if (aSession.echoed != 0 && hasNoNewer) {
    freshness_.OnPeerContact(aSession.entry, FromMicroseconds(aSession.echoed));
  }
  const auto* heartbeat = std::get_if<protocol::Heartbeat>(&aFrame.message);
  if (heartbeat && heartbeat->wantsAnswer) {
    Send(aLink, aSession, protocol::Heartbeat{ false });
  }
}

void
EntryLinks::SetPeer(link::LinkId aLink,
                    Session& aSession,
                    const EntryId& aEntry)
{
  auto older = peers_.find(aEntry);
  if (older != peers_.end() && older->second != aLink) {
    hub_.Close(older->second);
    sessions_.erase(older->second);
  }
  aSession.entry = aEntry;
  peers_[aEntry] = aLink;
  Push(aLink, aSession);
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
