#include "Services/Agent/JobAgentLinks.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace vanillaworks::agent {

namespace {
constexpr Milliseconds kHeartbeat{ 250 };
constexpr Milliseconds kIdleHeartbeat{ 400 };
constexpr Milliseconds kSilence{ 1000 };
/** A host without power answers no dial; it may be back a moment later. */
constexpr Milliseconds kDialTimeout{ 200 };
/** Each further entry makes news of room rarer, so that its cost stays. */
constexpr Milliseconds kStatusPerEntry{ 8 };
}

JobAgentLinks::JobAgentLinks(event_base* aBase,
                             std::vector<std::string> aEntries,
                             const job::ControlView& aControl,
                             service::ControlExchange& aNews,
                             job::RunKeeper& aKeeper)
  : control_(aControl)
  , news_(aNews)
  , keeper_(aKeeper)
  , hub_(aBase, {}, *this)
{
  LearnEntries(aEntries);
}

void
JobAgentLinks::LearnEntries(const std::vector<std::string>& aAddresses)
{
  for (const auto& address : aAddresses) {
    targets_.try_emplace(address);
  }
}

void
JobAgentLinks::Send(const EntryId& aEntry, protocol::Message aMessage)
{
  auto found = byEntry_.find(aEntry);
  if (found == byEntry_.end()) {
    return;
  }
  auto& session = sessions_.at(found->second);
  bool isStale = session.sentStatus != keeper_.StatusRevision();
  if (isStale && std::holds_alternative<protocol::RunReport>(aMessage)) {
    // What the entry places next should know of the room that is free now.
    SendStatus(found->second, session, MonotonicNow());
  }
  SendOn(found->second, session, std::move(aMessage));
}

void
JobAgentLinks::SendOn(link::LinkId aLink,
                      Session& aSession,
                      protocol::Message aMessage)
{
  auto header = aSession.watch.Send(control_.Revision(), MonotonicNow());
  hub_.Send(aLink, { header, std::move(aMessage) });
}

void
JobAgentLinks::SendStatus(link::LinkId aLink,
                          Session& aSession,
                          MonotonicTime aNow)
{
  aSession.sentStatus = keeper_.StatusRevision();
  aSession.statusSentAt = aNow;
  auto status = keeper_.Status(aSession.entry, aNow);
  bool isDescribed =
    aSession.described && aSession.described->DescribesSame(status);
  if (isDescribed) {
    SendOn(aLink, aSession, protocol::UpstreamFigures(status));
    return;
  }
  aSession.described = status;
  SendOn(aLink, aSession, std::move(status));
}

void
JobAgentLinks::SendStatusNow()
{
  auto now = MonotonicNow();
  for (const auto& [entry, linkId] : byEntry_) {
    SendStatus(linkId, sessions_.at(linkId), now);
  }
}

void
JobAgentLinks::OnTick(MonotonicTime aNow)
{
  DialMissing(aNow);
  for (auto& [linkId, session] : sessions_) {
    Beat(linkId, session, aNow);
  }
}

void
JobAgentLinks::DialMissing(MonotonicTime aNow)
{
  for (auto& item : targets_) {
    const auto& address = item.first;
    auto& schedule = item.second;
    bool isDialled = std::any_of(
      sessions_.begin(), sessions_.end(), [&address](const auto& aItem) {
        return aItem.second.address == address;
      });
    if (isDialled || !schedule.IsDue(aNow)) {
      continue;
    }
    auto linkId = hub_.Dial(address);
    schedule.OnDialled(aNow);
    if (linkId) {
      Session session(aNow);
      session.address = address;
      sessions_.emplace(*linkId, std::move(session));
    }
  }
}

void
JobAgentLinks::Beat(link::LinkId aLink, Session& aSession, MonotonicTime aNow)
{
  auto patience = aSession.up ? kSilence : kDialTimeout;
  if (aSession.watch.IsSilent(patience, aNow)) {
    if (aSession.up) {
      Log::Write(Event::LinkSilent, { { "address", aSession.address } });
    }
    aSession.watch.Restart(aNow);
    hub_.Close(aLink);
    return;
  }
  if (aSession.entry.Value().empty()) {
    return;
  }
  auto between = kStatusPerEntry * std::max<std::size_t>(byEntry_.size(), 1);
  bool isStatusDue = aSession.sentStatus != keeper_.StatusRevision() &&
                     aNow - aSession.statusSentAt >= between;
  if (isStatusDue) {
    SendStatus(aLink, aSession, aNow);
    return;
  }
  auto interval =
    keeper_.HasWorkFor(aSession.entry) ? kHeartbeat : kIdleHeartbeat;
  if (aSession.watch.IsHeartbeatDue(interval, aNow)) {
    SendOn(aLink, aSession, protocol::Heartbeat{ false });
  }
}

void
JobAgentLinks::OnLinkUp(link::LinkId aLink, link::LinkRole)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  session.up = true;
  auto now = MonotonicNow();
  session.watch.Restart(now);
  targets_[session.address].OnUp();
  SendStatus(aLink, session, now);
}

void
JobAgentLinks::OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  auto now = MonotonicNow();
  session.watch.OnHeaderReceived(aFrame.header, now);
  if (const auto* resume = std::get_if<protocol::RunResume>(&aFrame.message)) {
    OnResume(aLink, session, *resume, now);
  }
  bool isCurrent =
    !session.entry.Value().empty() && byEntry_[session.entry] == aLink;
  if (!isCurrent) {
    return;
  }
  keeper_.OnVouched(session.entry, FromMicroseconds(aFrame.header.echo));
  OnMessage(session, aFrame.message, now);
  auto reply = news_.OnFrame(aFrame, session.entry.Value(), now);
  if (reply) {
    SendOn(aLink, session, std::move(*reply));
  }
}

void
JobAgentLinks::OnResume(link::LinkId aLink,
                        Session& aSession,
                        const protocol::RunResume& aResume,
                        MonotonicTime aNow)
{
  aSession.entry = aResume.entry;
  auto former = byEntry_.find(aResume.entry);
  if (former != byEntry_.end() && former->second != aLink) {
    hub_.Close(former->second);
  }
  byEntry_[aResume.entry] = aLink;
  Log::Write(Event::LinkOpened, { { "entry", aResume.entry.Value() } });
  keeper_.OnResume(aResume, aNow);
}

void
JobAgentLinks::OnMessage(Session& aSession,
                         const protocol::Message& aMessage,
                         MonotonicTime aNow)
{
  if (const auto* order = std::get_if<protocol::RunOrder>(&aMessage)) {
    keeper_.OnOrder(aSession.entry, *order, aNow);
    return;
  }
  if (const auto* cancel = std::get_if<protocol::RunCancel>(&aMessage)) {
    keeper_.OnCancel(aSession.entry, *cancel, aNow);
    return;
  }
  if (const auto* list = std::get_if<protocol::EntryList>(&aMessage)) {
    LearnEntries(list->addresses);
  }
}

void
JobAgentLinks::OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto session = std::move(found->second);
  sessions_.erase(found);
  if (session.up) {
    Log::Write(
      Event::LinkClosed,
      { { "address", session.address },
        { "reason", std::string(link::LinkCloseReasonName(aReason)) } });
  }
  auto current = byEntry_.find(session.entry);
  if (current != byEntry_.end() && current->second == aLink) {
    byEntry_.erase(current);
  }
}

}
