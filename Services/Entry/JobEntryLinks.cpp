#include "Services/Entry/JobEntryLinks.h"

#include "LibCore/Log.h"

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kHeartbeatInterval{ 250 };
constexpr Milliseconds kIdleHeartbeatInterval{ 400 };
constexpr Milliseconds kSilenceTimeout{ 1000 };
}

JobEntryLinks::JobEntryLinks(event_base* aBase,
                             EntryId aSelf,
                             Incarnation aIncarnation,
                             const job::ControlView& aControl,
                             service::ControlExchange& aControlExchange,
                             job::JobDispatcher& aDispatcher)
  : self_(std::move(aSelf))
  , incarnation_(aIncarnation)
  , control_(aControl)
  , controlExchange_(aControlExchange)
  , dispatcher_(aDispatcher)
  , linkManager_(aBase, {}, *this)
{
}

void
JobEntryLinks::Send(const UpstreamId& aUpstream, protocol::Message aMessage)
{
  auto found = linksByUpstream_.find(aUpstream);
  if (found != linksByUpstream_.end()) {
    SendOnLink(found->second, std::move(aMessage));
  }
}

void
JobEntryLinks::SendOnLink(link::LinkId aLink, protocol::Message aMessage)
{
  auto& session = sessions_.at(aLink);
  auto header = session.liveness.Send(control_.Revision(), MonotonicNow());
  linkManager_.Send(aLink, { header, std::move(aMessage) });
}

void
JobEntryLinks::SetEntries(std::vector<std::string> aAddresses)
{
  if (aAddresses == entryAddresses_) {
    return;
  }
  entryAddresses_ = std::move(aAddresses);
  for (const auto& [upstream, linkId] : linksByUpstream_) {
    SendOnLink(linkId, protocol::EntryList{ entryAddresses_ });
  }
}

void
JobEntryLinks::OnTick(MonotonicTime aNow)
{
  for (auto& [linkId, session] : sessions_) {
    if (session.liveness.IsSilent(kSilenceTimeout, aNow)) {
      Log::Write(Event::LinkSilent,
                 { { "upstream", session.upstream.Value() } });
      session.liveness.Restart(aNow);
      linkManager_.Close(linkId);
      continue;
    }
    bool hasWork = dispatcher_.HasOutstanding(session.upstream);
    auto interval = hasWork ? kHeartbeatInterval : kIdleHeartbeatInterval;
    bool isKnown = !session.upstream.Value().empty();
    if (isKnown && session.liveness.IsHeartbeatDue(interval, aNow)) {
      SendOnLink(linkId, protocol::Heartbeat{ false });
    }
  }
}

void
JobEntryLinks::OnLinkUp(link::LinkId aLink, link::LinkDirection)
{
  sessions_.emplace(aLink, Session(MonotonicNow()));
}

void
JobEntryLinks::OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  auto now = MonotonicNow();
  session.liveness.OnHeaderReceived(aFrame.header, now);
  if (const auto* status =
        std::get_if<protocol::UpstreamStatus>(&aFrame.message)) {
    OnStatus(aLink, session, *status, now);
  }
  const auto* figures = std::get_if<protocol::UpstreamFigures>(&aFrame.message);
  if (figures && !session.upstream.Value().empty()) {
    auto status = dispatcher_.Upstreams().at(session.upstream).Status();
    static_cast<protocol::UpstreamFigures&>(status) = *figures;
    OnStatus(aLink, session, status, now);
  }
  if (!IsCurrent(session.upstream, aLink)) {
    return;
  }
  dispatcher_.OnAgentHeard(session.upstream, now);
  if (const auto* lost = std::get_if<protocol::LostRuns>(&aFrame.message)) {
    dispatcher_.OnLostRuns(session.upstream, *lost, now);
  }
  if (const auto* cancelled =
        std::get_if<protocol::CancelledJobs>(&aFrame.message)) {
    dispatcher_.OnCancelledElsewhere(*cancelled, now);
  }
  if (auto* report = std::get_if<protocol::RunReport>(&aFrame.message)) {
    dispatcher_.OnReport(session.upstream, *report, now);
  }
  auto reply = controlExchange_.OnFrame(aFrame, session.upstream.Value(), now);
  if (reply) {
    SendOnLink(aLink, std::move(*reply));
  }
}

bool
JobEntryLinks::IsCurrent(const UpstreamId& aUpstream, link::LinkId aLink) const
{
  auto found = linksByUpstream_.find(aUpstream);
  return found != linksByUpstream_.end() && found->second == aLink;
}

void
JobEntryLinks::LogStatusChange(const protocol::UpstreamStatus& aStatus) const
{
  const auto& before = dispatcher_.Upstreams().at(aStatus.upstream).Status();
  bool hasChanged =
    before.accepting != aStatus.accepting || before.suspect != aStatus.suspect;
  if (hasChanged) {
    Log::Write(
      Event::UpstreamChanged,
      { { "upstream", aStatus.upstream.Value() },
        { "accepting", aStatus.accepting ? "yes" : "no" },
        { "suspect", aStatus.suspect ? "yes" : "no" },
        { "slowness_permille", std::to_string(aStatus.slownessPermille) } });
  }
}

void
JobEntryLinks::OnStatus(link::LinkId aLink,
                        Session& aSession,
                        const protocol::UpstreamStatus& aStatus,
                        MonotonicTime aNow)
{
  bool isIdentified = !aSession.upstream.Value().empty();
  if (isIdentified && aSession.upstream != aStatus.upstream) {
    Log::Write(Event::FrameRefused,
               { { "upstream", aSession.upstream.Value() },
                 { "other", aStatus.upstream.Value() } });
    linkManager_.Close(aLink);
    return;
  }
  if (isIdentified) {
    if (IsCurrent(aSession.upstream, aLink)) {
      LogStatusChange(aStatus);
      dispatcher_.OnStatus(aStatus, aNow);
    }
    return;
  }
  aSession.upstream = aStatus.upstream;
  auto previous = linksByUpstream_.find(aStatus.upstream);
  if (previous != linksByUpstream_.end()) {
    linkManager_.Close(previous->second);
  }
  linksByUpstream_[aStatus.upstream] = aLink;
  Log::Write(Event::LinkOpened, { { "upstream", aStatus.upstream.Value() } });
  auto awaited = dispatcher_.OnAgentUp(aStatus, aNow);
  SendOnLink(aLink,
             protocol::RunResume{ self_, incarnation_, std::move(awaited) });
  SendOnLink(aLink, protocol::EntryList{ entryAddresses_ });
  dispatcher_.OnAgentResumed(aStatus.upstream);
}

void
JobEntryLinks::OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto upstream = found->second.upstream;
  sessions_.erase(found);
  if (!IsCurrent(upstream, aLink)) {
    return;
  }
  linksByUpstream_.erase(upstream);
  Log::Write(Event::LinkClosed,
             { { "upstream", upstream.Value() },
               { "reason", std::string(link::LinkCloseReasonName(aReason)) } });
  dispatcher_.OnAgentDown(upstream, MonotonicNow());
}

}
