#include "Services/Agent/AgentApp.h"

#include "LibCore/Log.h"
#include "LibService/StatusEndpoints.h"

#include <algorithm>

namespace vanillaworks::agent {

namespace {
constexpr Milliseconds kTick{ 50 };
constexpr Milliseconds kMaxWaitForAcknowledgement{ 10'000 };
constexpr int kStatusNotFound = 404;
constexpr const char* kPlainText = "text/plain";

bool
CarriesTask(const protocol::Message& aMessage)
{
  const auto* result = std::get_if<protocol::TaskResult>(&aMessage);
  return result && result->code != protocol::ResultCode::NotStarted;
}
}

AgentApp::AgentApp(AgentSettings aSettings,
                   service::EventLoop& aLoop,
                   UpstreamRunner& aUpstream)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , upstream_(aUpstream)
  , core_(settings_.identity, settings_.limits, configuration_, *this)
  , hub_(aLoop.Base(), {}, *this)
  , starts_(metrics_.Counter("vanillaworks_starts_total"))
  , controlFrames_(metrics_)
{
}

AgentApp::~AgentApp() = default;

bool
AgentApp::Start()
{
  if (!settings_.pagesAddress.empty()) {
    auto pages =
      service::HttpServer::Create({ settings_.pagesAddress, 1 }, *this);
    if (pages.IsError()) {
      return false;
    }
    pages_ = pages.ReleaseValue();
  }
  for (const auto& address : settings_.entries) {
    targets_[address].fromSettings = true;
  }
  loop_.RunEvery(kTick, [this] { OnTick(); });
  OnTick();
  Log::Write(Event::ProcessStarted,
             { { "upstream", settings_.identity.upstream.Value() },
               { "failure_domain", settings_.identity.domain.Value() } });
  return true;
}

void
AgentApp::BeginStop()
{
  if (stopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  stopping_ = true;
  ready_ = false;
  stopAt_ = MonotonicNow() + settings_.stopBound;
  core_.BeginStop(MonotonicNow());
  for (const auto& [entry, linkId] : byEntry_) {
    SendOn(linkId, protocol::Goodbye{ false });
  }
}

void
AgentApp::OnTick()
{
  auto now = MonotonicNow();
  Log::Flush();
  core_.OnTick(now);
  DialMissing(now);
  Beat(now);
  UpdateGauges();
  if (!stopping_) {
    return;
  }
  if (core_.IsIdle()) {
    // What is left are results for entries that may be gone for good.
    stopAt_ = std::min(stopAt_, now + kMaxWaitForAcknowledgement);
  }
  bool isDrained = core_.IsDrained();
  if (!isDrained && now < stopAt_) {
    return;
  }
  if (isDrained) {
    for (const auto& [entry, linkId] : byEntry_) {
      SendOn(linkId, protocol::Goodbye{ true });
    }
  } else {
    Log::Write(Event::StopBoundReached);
  }
  stopAt_ = now + settings_.stopBound;
  // One more turn lets the goodbyes leave.
  loop_.RunAfter(kTick, [this] { loop_.Stop(); });
}

void
AgentApp::DialMissing(MonotonicTime aNow)
{
  if (stopping_) {
    return;
  }
  for (auto& item : targets_) {
    const auto& address = item.first;
    auto& target = item.second;
    bool isDialled = std::any_of(
      sessions_.begin(), sessions_.end(), [&address](const auto& aItem) {
        return aItem.second.address == address;
      });
    if (isDialled || !target.schedule.IsDue(aNow)) {
      continue;
    }
    auto linkId = hub_.Dial(address);
    target.schedule.OnDialled(aNow);
    if (linkId) {
      Session session;
      session.address = address;
      session.awaitingSince = aNow;
      session.lastReceived = aNow;
      sessions_.emplace(*linkId, std::move(session));
    }
  }
}

void
AgentApp::Beat(MonotonicTime aNow)
{
  for (auto& [linkId, session] : sessions_) {
    auto quiet = aNow - session.lastReceived;
    bool isWorking = core_.HasWorkFor(session.entry);
    // News is awaited on a link that carries work, or where it was asked for.
    bool isAwaiting = isWorking || session.lastHeartbeat > session.lastReceived;
    if (!isAwaiting) {
      session.awaitingSince = aNow;
    }
    bool isSilent =
      isAwaiting &&
      std::min(quiet, aNow - session.awaitingSince) > settings_.workSilence;
    if (isSilent || quiet > settings_.silence) {
      Log::Write(Event::LinkSilent, { { "address", session.address } });
      session.lastReceived = aNow;
      hub_.Close(linkId);
      continue;
    }
    auto interval = isWorking ? settings_.heartbeat : settings_.idleHeartbeat;
    bool isDue = quiet >= interval && aNow - session.lastHeartbeat >= interval;
    if (!session.entry.Value().empty() && isDue) {
      session.lastHeartbeat = aNow;
      SendOn(linkId, protocol::Heartbeat{ true });
    }
  }
  KeepFresh(aNow);
}

void
AgentApp::KeepFresh(MonotonicTime aNow)
{
  auto vouched = core_.Gate().VouchedAt();
  auto maxAge = settings_.limits.gate.maxConfigurationAge;
  bool isFresh = vouched && aNow - *vouched < maxAge * 3 / 5;
  if (isFresh || aNow - lastFreshnessAsked_ < settings_.heartbeat / 2) {
    return;
  }
  lastFreshnessAsked_ = aNow;
  // One entry is enough as long as it answers; when it did not, all are asked.
  bool asksAll = !vouched || aNow - *vouched > maxAge * 4 / 5;
  auto next = byEntry_.upper_bound(askedLast_);
  if (next == byEntry_.end()) {
    next = byEntry_.begin();
  }
  for (const auto& [entry, linkId] : byEntry_) {
    if (asksAll || entry == next->first) {
      askedLast_ = entry;
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
  header.setAside = core_.Gate().Streak().IsSetAside();
  return header;
}

void
AgentApp::SendOn(link::LinkId aLink, protocol::Message aMessage)
{
  auto session = sessions_.find(aLink);
  if (session == sessions_.end()) {
    return;
  }
  if (!CarriesTask(aMessage)) {
    controlFrames_.Count(aMessage);
  }
  hub_.Send(aLink, { MakeHeader(session->second), std::move(aMessage) });
}

void
AgentApp::RunOnUpstream(const protocol::Start& aTask, MonotonicTime)
{
  starts_.Increment();
  upstream_.Run(aTask, [this, key = aTask.key](RunOutcome aOutcome) {
    core_.OnTaskEnded(key,
                      aOutcome.code,
                      std::move(aOutcome.payload),
                      aOutcome.service,
                      MonotonicNow());
  });
}

void
AgentApp::SendToEntry(const EntryId& aEntry, protocol::Message aMessage)
{
  auto found = byEntry_.find(aEntry);
  if (found != byEntry_.end()) {
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
AgentApp::OnLinkUp(link::LinkId aLink, link::LinkRole)
{
  auto session = sessions_.find(aLink);
  if (session == sessions_.end()) {
    return;
  }
  session->second.up = true;
  targets_[session->second.address].schedule.OnUp();
  auto hello = settings_.identity;
  hello.registered = core_.Gate().IsRegistered();
  hello.stopping = stopping_;
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
  session.lastReceived = now;
  session.peerSentAt = aFrame.header.sentAt;
  if (const auto* welcome = std::get_if<protocol::Welcome>(&aFrame.message)) {
    OnWelcome(aLink, session, *welcome);
  }
  if (session.entry.Value().empty() || byEntry_[session.entry] != aLink) {
    return;
  }
  if (const auto* list = std::get_if<protocol::EntryList>(&aFrame.message)) {
    LearnEntries(list->addresses);
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
  // The sender of a version may be waiting to tell that it is in force.
  bool isAwaited =
    (heartbeat && heartbeat->wantsAnswer) ||
    std::holds_alternative<protocol::ConfigurationUpdate>(aFrame.message);
  if (isAwaited) {
    SendOn(aLink, protocol::Heartbeat{ false });
  }
}

void
AgentApp::OnWelcome(link::LinkId aLink,
                    Session& aSession,
                    const protocol::Welcome& aWelcome)
{
  auto older = byEntry_.find(aWelcome.entry);
  if (older != byEntry_.end() && older->second != aLink) {
    // One link per entry: with the older one gone nothing can arrive on it
    // any more, which Reconcile relies on.
    hub_.Close(older->second);
    sessions_.erase(older->second);
  }
  aSession.entry = aWelcome.entry;
  byEntry_[aWelcome.entry] = aLink;
  core_.OnWelcome(aWelcome);
  LearnEntries(aWelcome.entries);
  ready_ = true;
  Log::Write(Event::LinkOpened, { { "entry", aWelcome.entry.Value() } });
  SendOn(aLink, protocol::Heartbeat{ true });
}

void
AgentApp::LearnEntries(const std::vector<std::string>& aAddresses)
{
  if (!settings_.learnEntries) {
    return;
  }
  std::erase_if(targets_, [this, &aAddresses](const auto& aItem) {
    bool isListed =
      std::find(aAddresses.begin(), aAddresses.end(), aItem.first) !=
      aAddresses.end();
    bool isLinked = std::any_of(
      sessions_.begin(), sessions_.end(), [&aItem](const auto& aSession) {
        return aSession.second.up && aSession.second.address == aItem.first;
      });
    return !aItem.second.fromSettings && !isListed && !isLinked;
  });
  for (const auto& address : aAddresses) {
    targets_.try_emplace(address);
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
  if (found->second.up) {
    Log::Write(Event::LinkClosed,
               { { "entry", entry.Value() },
                 { "reason", std::string(LinkCloseReasonName(aReason)) } });
  }
  sessions_.erase(found);
  auto known = byEntry_.find(entry);
  if (known != byEntry_.end() && known->second == aLink) {
    byEntry_.erase(known);
    core_.OnLinkDown(entry);
  }
  ready_ = !byEntry_.empty() && !stopping_;
}

void
AgentApp::UpdateGauges()
{
  metrics_.Gauge("vanillaworks_in_flight").Set(core_.Gate().Running());
  metrics_.Gauge("vanillaworks_queued")
    .Set(core_.Occupancy() - core_.Gate().Running());
  metrics_.Gauge("vanillaworks_remembered")
    .Set(static_cast<double>(core_.Gate().Remembered()));
  metrics_.Gauge("vanillaworks_links")
    .Set(static_cast<double>(byEntry_.size()));
  metrics_.Gauge("vanillaworks_configuration_version")
    .Set(static_cast<double>(configuration_.Current()->version.Value()));
  auto set = [this](const char* aName, std::uint64_t aTotal) {
    auto& counter = metrics_.Counter(aName);
    counter.Increment(static_cast<double>(aTotal) - counter.Value());
  };
  set("vanillaworks_frames_sent_total", hub_.FramesSent());
  set("vanillaworks_frames_received_total", hub_.FramesReceived());
  set("vanillaworks_bytes_sent_total", hub_.BytesSent());
  set("vanillaworks_bytes_received_total", hub_.BytesReceived());
}

void
AgentApp::OnRequest(service::HttpRequest aRequest,
                    std::shared_ptr<service::HttpResponder> aResponder)
{
  auto readiness =
    ready_ ? service::Readiness::Ready : service::Readiness::NotReady;
  if (service::AnswerStatusRequest(aRequest, readiness, metrics_, aResponder)) {
    return;
  }
  aResponder->Reply(kStatusNotFound, "no such page\n", kPlainText);
}

}
