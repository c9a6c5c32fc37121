#include "Services/Agent/AgentApp.h"

#include "LibCore/Log.h"
#include "LibService/ClientClosures.h"
#include "LibService/StatusEndpoints.h"

#include <algorithm>

namespace vanillaworks::agent {

namespace {
constexpr Milliseconds kTickInterval{ 50 };
constexpr Milliseconds kMaxAcknowledgementWait{ 10'000 };
constexpr int kHttpNotFound = 404;
constexpr std::size_t kMaxStatusRequestBytes = std::size_t{ 64 } * 1024;
constexpr const char* kPlainTextType = "text/plain";

bool
CarriesTaskResult(const protocol::Message& aMessage)
{
  const auto* result = std::get_if<protocol::TaskResult>(&aMessage);
  return result && result->code != protocol::ResultCode::NotStarted;
}
}

AgentApp::AgentApp(AgentSettings aSettings,
                   service::EventLoop& aLoop,
                   UpstreamClient& aUpstream)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , upstream_(aUpstream)
  , core_(settings_.identity, settings_.limits, configuration_, *this)
  , linkManager_(aLoop.Base(), {}, *this)
  , starts_(metrics_.Counter("vanillaworks_starts_total"))
  , controlFrames_(metrics_)
{
}

AgentApp::~AgentApp() = default;

bool
AgentApp::Start()
{
  if (!settings_.statusAddress.empty()) {
    auto statusServer = service::HttpServer::Create(
      { settings_.statusAddress,
        1,
        kMaxStatusRequestBytes,
        settings_.clientLimits,
        [this](service::ClientCloseReason aReason) {
          service::RecordClosedClient(metrics_, aReason);
        } },
      *this);
    if (statusServer.IsError()) {
      return false;
    }
    statusServer_ = statusServer.ReleaseValue();
  }
  for (const auto& address : settings_.entries) {
    endpoints_[address].isFromSettings = true;
  }
  loop_.RunEvery(kTickInterval, [this] { OnTick(); });
  OnTick();
  Log::Write(Event::ProcessStarted,
             { { "upstream", settings_.identity.upstream.Value() },
               { "failure_domain", settings_.identity.domain.Value() } });
  return true;
}

void
AgentApp::BeginStop()
{
  if (isStopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  isStopping_ = true;
  isReady_ = false;
  stopDeadline_ = MonotonicNow() + settings_.stopBound;
  core_.BeginStop(MonotonicNow());
  for (const auto& [entry, linkId] : linkByEntry_) {
    SendOn(linkId, protocol::Goodbye{ false });
  }
}

void
AgentApp::OnTick()
{
  auto now = MonotonicNow();
  Log::Flush();
  core_.OnTick(now);
  ConnectMissing(now);
  MaintainLinks(now);
  UpdateGauges();
  if (!isStopping_) {
    return;
  }
  if (core_.IsIdle()) {
    // Only unacknowledged results are left; their entries may never return.
    stopDeadline_ = std::min(stopDeadline_, now + kMaxAcknowledgementWait);
  }
  bool isDrained = core_.IsDrained();
  if (!isDrained && now < stopDeadline_) {
    return;
  }
  if (isDrained) {
    for (const auto& [entry, linkId] : linkByEntry_) {
      SendOn(linkId, protocol::Goodbye{ true });
    }
  } else {
    Log::Write(Event::StopBoundReached);
  }
  stopDeadline_ = now + settings_.stopBound;
  // The delay lets the event loop flush the Goodbye frames.
  loop_.RunAfter(kTickInterval, [this] { loop_.Stop(); });
}

void
AgentApp::ConnectMissing(MonotonicTime aNow)
{
  if (isStopping_) {
    return;
  }
  for (auto& item : endpoints_) {
    const auto& address = item.first;
    auto& endpoint = item.second;
    bool hasLink = std::any_of(
      sessions_.begin(), sessions_.end(), [&address](const auto& aItem) {
        return aItem.second.address == address;
      });
    if (hasLink || !endpoint.backoff.IsAttemptDue(aNow)) {
      continue;
    }
    auto linkId = linkManager_.Connect(address);
    endpoint.backoff.OnAttempt(aNow);
    if (linkId) {
      Session session;
      session.address = address;
      session.awaitingSince = aNow;
      session.lastReceivedAt = aNow;
      sessions_.emplace(*linkId, std::move(session));
    }
  }
}

void
AgentApp::MaintainLinks(MonotonicTime aNow)
{
  for (auto& [linkId, session] : sessions_) {
    auto silentFor = aNow - session.lastReceivedAt;
    bool isWorking = core_.HasWorkFor(session.entry);
    // A frame is expected on a link with work, or after a heartbeat was sent.
    bool isAwaitingFrame =
      isWorking || session.lastHeartbeatAt > session.lastReceivedAt;
    if (!isAwaitingFrame) {
      session.awaitingSince = aNow;
    }
    bool isSilent =
      isAwaitingFrame && std::min(silentFor, aNow - session.awaitingSince) >
                           settings_.workSilenceTimeout;
    if (isSilent || silentFor > settings_.silenceTimeout) {
      Log::Write(Event::LinkSilent, { { "address", session.address } });
      session.lastReceivedAt = aNow;
      linkManager_.Close(linkId);
      continue;
    }
    auto interval =
      isWorking ? settings_.heartbeatInterval : settings_.idleHeartbeatInterval;
    bool isDue =
      silentFor >= interval && aNow - session.lastHeartbeatAt >= interval;
    if (!session.entry.Value().empty() && isDue) {
      session.lastHeartbeatAt = aNow;
      SendOn(linkId, protocol::Heartbeat{ true });
    }
  }
  RevalidateConfiguration(aNow);
}

void
AgentApp::RevalidateConfiguration(MonotonicTime aNow)
{
  auto revalidatedAt = core_.Gate().RevalidatedAt();
  auto maxAge = settings_.limits.gate.maxConfigurationAge;
  bool isFresh = revalidatedAt && aNow - *revalidatedAt < maxAge * 3 / 5;
  if (isFresh || aNow - lastRevalidationAt_ < settings_.heartbeatInterval / 2) {
    return;
  }
  lastRevalidationAt_ = aNow;
  // One answer is enough, so entries are asked one at a time, in turn. All are
  // asked once answers are missing and the age exceeds 4/5 of the maximum.
  bool askAll = !revalidatedAt || aNow - *revalidatedAt > maxAge * 4 / 5;
  auto next = linkByEntry_.upper_bound(lastAskedEntry_);
  if (next == linkByEntry_.end()) {
    next = linkByEntry_.begin();
  }
  for (const auto& [entry, linkId] : linkByEntry_) {
    if (askAll || entry == next->first) {
      lastAskedEntry_ = entry;
      SendOn(linkId, protocol::Heartbeat{ true });
    }
  }
}

protocol::Header
AgentApp::MakeHeader(const Session& aSession) const
{
  protocol::Header header;
  header.sentAt = ToMicroseconds(MonotonicNow());
  header.echo = aSession.peerSentAt;
  header.version = configuration_.Current()->version;
  header.occupancy = core_.Occupancy();
  header.setAside = core_.Gate().Breaker().IsSetAside();
  return header;
}

void
AgentApp::SendOn(link::LinkId aLink, protocol::Message aMessage)
{
  auto session = sessions_.find(aLink);
  if (session == sessions_.end()) {
    return;
  }
  if (!CarriesTaskResult(aMessage)) {
    controlFrames_.Count(aMessage);
  }
  linkManager_.Send(aLink,
                    { MakeHeader(session->second), std::move(aMessage) });
}

void
AgentApp::RunOnUpstream(const protocol::Start& aTask, MonotonicTime)
{
  starts_.Increment();
  upstream_.Run(aTask, [this, key = aTask.key](TaskOutcome aOutcome) {
    core_.OnTaskEnded(key,
                      aOutcome.code,
                      std::move(aOutcome.payload),
                      aOutcome.serviceTime,
                      MonotonicNow());
  });
}

void
AgentApp::SendToEntry(const EntryId& aEntry, protocol::Message aMessage)
{
  auto found = linkByEntry_.find(aEntry);
  if (found != linkByEntry_.end()) {
    SendOn(found->second, std::move(aMessage));
  }
}

void
AgentApp::CountRefusal(protocol::RefusalReason aReason)
{
  auto& counter = refusals_[static_cast<std::size_t>(aReason)];
  if (!counter) {
    counter = &metrics_.Counter("vanillaworks_refusals_total",
                                "reason",
                                std::string(RefusalReasonName(aReason)));
  }
  counter->Increment();
}

void
AgentApp::OnLinkUp(link::LinkId aLink, link::LinkDirection)
{
  auto session = sessions_.find(aLink);
  if (session == sessions_.end()) {
    return;
  }
  session->second.isUp = true;
  endpoints_[session->second.address].backoff.OnConnected();
  auto hello = settings_.identity;
  hello.registered = core_.Gate().IsRegistered();
  hello.stopping = isStopping_;
  SendOn(aLink, std::move(hello));
}

void
AgentApp::OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  auto now = MonotonicNow();
  session.lastReceivedAt = now;
  session.peerSentAt = aFrame.header.sentAt;
  if (const auto* welcome = std::get_if<protocol::Welcome>(&aFrame.message)) {
    OnWelcome(aLink, session, *welcome);
  }
  if (session.entry.Value().empty() || linkByEntry_[session.entry] != aLink) {
    return;
  }
  if (const auto* list = std::get_if<protocol::EntryList>(&aFrame.message)) {
    UpdateEntryAddresses(list->addresses);
  }
  auto versionBefore = configuration_.Current()->version;
  core_.OnFrame(session.entry, aFrame, now);
  if (configuration_.Current()->version != versionBefore) {
    Log::Write(
      Event::ConfigurationAdopted,
      { { "version",
          std::to_string(configuration_.Current()->version.Value()) } });
  }
  const auto* heartbeat = std::get_if<protocol::Heartbeat>(&aFrame.message);
  // The reply's header confirms the new version; its sender may be waiting for
  // that to report the version as in force.
  bool isReplyDue =
    (heartbeat && heartbeat->wantsAnswer) ||
    std::holds_alternative<protocol::ConfigurationUpdate>(aFrame.message);
  if (isReplyDue) {
    SendOn(aLink, protocol::Heartbeat{ false });
  }
}

void
AgentApp::OnWelcome(link::LinkId aLink,
                    Session& aSession,
                    const protocol::Welcome& aWelcome)
{
  if (core_.IsOutdated(aWelcome)) {
    linkManager_.Close(aLink);
    return;
  }
  auto previous = linkByEntry_.find(aWelcome.entry);
  if (previous != linkByEntry_.end() && previous->second != aLink) {
    // Only one link per entry is kept. Reconcile relies on no more frames
    // arriving on the previous link.
    linkManager_.Close(previous->second);
    sessions_.erase(previous->second);
  }
  aSession.entry = aWelcome.entry;
  linkByEntry_[aWelcome.entry] = aLink;
  core_.OnWelcome(aWelcome);
  UpdateEntryAddresses(aWelcome.entries);
  isReady_ = true;
  Log::Write(Event::LinkOpened, { { "entry", aWelcome.entry.Value() } });
  SendOn(aLink, protocol::Heartbeat{ true });
}

void
AgentApp::UpdateEntryAddresses(const std::vector<std::string>& aAddresses)
{
  if (!settings_.discoverEntries) {
    return;
  }
  std::erase_if(endpoints_, [this, &aAddresses](const auto& aItem) {
    bool isListed =
      std::find(aAddresses.begin(), aAddresses.end(), aItem.first) !=
      aAddresses.end();
    bool isLinked = std::any_of(
      sessions_.begin(), sessions_.end(), [&aItem](const auto& aSession) {
        return aSession.second.isUp && aSession.second.address == aItem.first;
      });
    return !aItem.second.isFromSettings && !isListed && !isLinked;
  });
  for (const auto& address : aAddresses) {
    endpoints_.try_emplace(address);
  }
}

void
AgentApp::OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason)
{
  auto found = sessions_.find(aLink);
  if (aReason == link::LinkCloseReason::BadFrame) {
    metrics_.Counter("vanillaworks_bad_frames_total").Increment();
    Log::Write(Event::FrameRefused);
  }
  if (found == sessions_.end()) {
    return;
  }
  auto entry = found->second.entry;
  if (found->second.isUp) {
    Log::Write(Event::LinkClosed,
               { { "entry", entry.Value() },
                 { "reason", std::string(LinkCloseReasonName(aReason)) } });
  }
  sessions_.erase(found);
  auto current = linkByEntry_.find(entry);
  if (current != linkByEntry_.end() && current->second == aLink) {
    linkByEntry_.erase(current);
    core_.OnLinkDown(entry);
  }
  isReady_ = !linkByEntry_.empty() && !isStopping_;
}

void
AgentApp::UpdateGauges()
{
  metrics_.Gauge("vanillaworks_in_flight").Set(core_.Gate().Running());
  metrics_.Gauge("vanillaworks_queued")
    .Set(core_.Occupancy() - core_.Gate().Running());
  metrics_.Gauge("vanillaworks_remembered")
    .Set(static_cast<double>(core_.Gate().RetainedCount()));
  metrics_.Gauge("vanillaworks_links")
    .Set(static_cast<double>(linkByEntry_.size()));
  metrics_.Gauge("vanillaworks_configuration_version")
    .Set(static_cast<double>(configuration_.Current()->version.Value()));
  auto setCounter = [this](const char* aName, std::uint64_t aTotal) {
    auto& counter = metrics_.Counter(aName);
    counter.Increment(static_cast<double>(aTotal) - counter.Value());
  };
  setCounter("vanillaworks_frames_sent_total", linkManager_.FramesSent());
  setCounter("vanillaworks_frames_received_total",
             linkManager_.FramesReceived());
  setCounter("vanillaworks_bytes_sent_total", linkManager_.BytesSent());
  setCounter("vanillaworks_bytes_received_total", linkManager_.BytesReceived());
}

void
AgentApp::OnRequest(service::HttpRequest aRequest,
                    std::shared_ptr<service::HttpResponder> aResponder)
{
  auto readiness =
    isReady_ ? service::Readiness::Ready : service::Readiness::NotReady;
  if (service::AnswerStatusRequest(aRequest, readiness, metrics_, aResponder)) {
    return;
  }
  aResponder->Reply(kHttpNotFound, "no such page\n", kPlainTextType);
}

}
