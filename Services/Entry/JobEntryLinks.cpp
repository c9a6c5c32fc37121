#include "Services/Entry/JobEntryLinks.h"

#include "LibCore/Log.h"

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kHeartbeat{ 250 };
constexpr Milliseconds kIdleHeartbeat{ 400 };
constexpr Milliseconds kSilence{ 1000 };
}

JobEntryLinks::JobEntryLinks(event_base* aBase,
                             EntryId aSelf,
                             Incarnation aIncarnation,
                             const job::ControlView& aControl,
                             service::ControlExchange& aNews,
                             job::JobDispatcher& aDispatcher)
  : self_(std::move(aSelf))
  , incarnation_(aIncarnation)
  , control_(aControl)
  , news_(aNews)
  , dispatcher_(aDispatcher)
  , hub_(aBase, {}, *this)
{
}

void
JobEntryLinks::Send(const UpstreamId& aUpstream, protocol::Message aMessage)
{
  auto found = byUpstream_.find(aUpstream);
  if (found != byUpstream_.end()) {
    SendOn(found->second, std::move(aMessage));
  }
}

void
JobEntryLinks::SendOn(link::LinkId aLink, protocol::Message aMessage)
{
  auto& session = sessions_.at(aLink);
  auto header = session.watch.Send(control_.Revision(), MonotonicNow());
  hub_.Send(aLink, { header, std::move(aMessage) });
}

void
JobEntryLinks::SetEntries(std::vector<std::string> aAddresses)
{
  if (aAddresses == entries_) {
    return;
  }
  entries_ = std::move(aAddresses);
  for (const auto& [upstream, linkId] : byUpstream_) {
    SendOn(linkId, protocol::EntryList{ entries_ });
  }
}

void
JobEntryLinks::OnTick(MonotonicTime aNow)
{
  for (auto& [linkId, session] : sessions_) {
    if (session.watch.IsSilent(kSilence, aNow)) {
      Log::Write(Event::LinkSilent,
                 { { "upstream", session.upstream.Value() } });
      session.watch.Restart(aNow);
      hub_.Close(linkId);
      continue;
    }
    bool hasWork = dispatcher_.HasOutstanding(session.upstream);
    auto interval = hasWork ? kHeartbeat : kIdleHeartbeat;
    bool isKnown = !session.upstream.Value().empty();
    if (isKnown && session.watch.IsHeartbeatDue(interval, aNow)) {
      SendOn(linkId, protocol::Heartbeat{ false });
    }
  }
}

void
JobEntryLinks::OnLinkUp(link::LinkId aLink, link::LinkRole)
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
  session.watch.OnHeaderReceived(aFrame.header, now);
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
  bool isCurrent =
    !session.upstream.Value().empty() && byUpstream_[session.upstream] == aLink;
  if (!isCurrent) {
    return;
  }
  dispatcher_.OnAgentHeard(session.upstream, now);
  if (auto* report = std::get_if<protocol::RunReport>(&aFrame.message)) {
    dispatcher_.OnReport(session.upstream, *report, now);
  }
  auto reply = news_.OnFrame(aFrame, session.upstream.Value(), now);
  if (reply) {
    SendOn(aLink, std::move(*reply));
  }
}

void
JobEntryLinks::LogChange(const protocol::UpstreamStatus& aStatus) const
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
  if (!aSession.upstream.Value().empty()) {
    if (byUpstream_[aSession.upstream] == aLink) {
      LogChange(aStatus);
      dispatcher_.OnStatus(aStatus, aNow);
    }
    return;
  }
  aSession.upstream = aStatus.upstream;
  auto former = byUpstream_.find(aStatus.upstream);
  if (former != byUpstream_.end()) {
    hub_.Close(former->second);
  }
  byUpstream_[aStatus.upstream] = aLink;
  Log::Write(Event::LinkOpened, { { "upstream", aStatus.upstream.Value() } });
  auto awaited = dispatcher_.OnAgentUp(aStatus, aNow);
  SendOn(aLink, protocol::RunResume{ self_, incarnation_, std::move(awaited) });
  SendOn(aLink, protocol::EntryList{ entries_ });
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
  auto current = byUpstream_.find(upstream);
  if (current == byUpstream_.end() || current->second != aLink) {
    return;
  }
  byUpstream_.erase(current);
  Log::Write(Event::LinkClosed,
             { { "upstream", upstream.Value() },
               { "reason", std::string(link::LinkCloseReasonName(aReason)) } });
  dispatcher_.OnAgentDown(upstream, MonotonicNow());
}

}
