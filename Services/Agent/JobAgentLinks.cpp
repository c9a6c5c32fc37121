#include "Services/Agent/JobAgentLinks.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace vanillaworks::agent {

namespace {
constexpr Milliseconds kHeartbeatInterval{ 250 };
constexpr Milliseconds kIdleHeartbeatInterval{ 400 };
constexpr Milliseconds kSilenceTimeout{ 1000 };
/** Short, since a host without power does not answer and may return soon. */
constexpr Milliseconds kConnectTimeout{ 200 };
/** The status interval grows with the entries, so that its cost does not. */
constexpr Milliseconds kStatusIntervalPerEntry{ 8 };
/** Bounds what a new link is told. */
constexpr std::size_t kMaxCancelledJobs = 2000;
}

JobAgentLinks::JobAgentLinks(event_base* aBase,
                             std::vector<std::string> aEntries,
                             const job::ControlView& aControl,
                             service::ControlExchange& aControlExchange,
                             job::RunSupervisor& aSupervisor)
  : control_(aControl)
  , controlExchange_(aControlExchange)
  , supervisor_(aSupervisor)
  , linkManager_(aBase, {}, *this)
  , cancelledJobs_(kMaxCancelledJobs)
  , addressesFromSettings_(aEntries.begin(), aEntries.end())
{
  AddEntryAddresses(aEntries);
}

void
JobAgentLinks::AddEntryAddresses(const std::vector<std::string>& aAddresses)
{
  for (const auto& address : aAddresses) {
    endpoints_.try_emplace(address);
  }
}

void
JobAgentLinks::SetEntryAddresses(const std::vector<std::string>& aAddresses)
{
  std::set<std::string> listed(aAddresses.begin(), aAddresses.end());
  std::erase_if(endpoints_, [this, &listed](const auto& aItem) {
    const auto& address = aItem.first;
    return !listed.contains(address) &&
           !addressesFromSettings_.contains(address) && !HasLinkTo(address);
  });
  AddEntryAddresses(aAddresses);
}

bool
JobAgentLinks::HasLinkTo(const std::string& aAddress) const
{
  return std::any_of(
    sessions_.begin(), sessions_.end(), [&aAddress](const auto& aItem) {
      return aItem.second.address == aAddress;
    });
}

bool
JobAgentLinks::IsCurrent(const EntryId& aEntry, link::LinkId aLink) const
{
  auto found = linkByEntry_.find(aEntry);
  return found != linkByEntry_.end() && found->second == aLink;
}

void
JobAgentLinks::Send(const EntryId& aEntry, protocol::Message aMessage)
{
  auto found = linkByEntry_.find(aEntry);
  if (found == linkByEntry_.end()) {
    return;
  }
  auto& session = sessions_.at(found->second);
  bool isStatusStale =
    session.sentStatusRevision != supervisor_.StatusRevision();
  if (isStatusStale && std::holds_alternative<protocol::RunReport>(aMessage)) {
    // The entry should base its next placement on the capacity free now.
    SendStatus(found->second, session, MonotonicNow());
  }
  SendOn(found->second, session, std::move(aMessage));
}

void
JobAgentLinks::SendOn(link::LinkId aLink,
                      Session& aSession,
                      protocol::Message aMessage)
{
  auto header = aSession.liveness.Send(control_.Revision(), MonotonicNow());
  linkManager_.Send(aLink, { header, std::move(aMessage) });
}

void
JobAgentLinks::SendStatus(link::LinkId aLink,
                          Session& aSession,
                          MonotonicTime aNow)
{
  aSession.sentStatusRevision = supervisor_.StatusRevision();
  aSession.statusSentAt = aNow;
  auto status = supervisor_.Status(aSession.entry, aNow);
  bool hasSameDescription =
    aSession.lastFullStatus && aSession.lastFullStatus->DescribesSame(status);
  if (hasSameDescription) {
    SendOn(aLink, aSession, protocol::UpstreamFigures(status));
    return;
  }
  aSession.lastFullStatus = status;
  SendOn(aLink, aSession, std::move(status));
}

void
JobAgentLinks::SendStatusNow()
{
  auto now = MonotonicNow();
  for (const auto& [entry, linkId] : linkByEntry_) {
    SendStatus(linkId, sessions_.at(linkId), now);
  }
}

void
JobAgentLinks::OnTick(MonotonicTime aNow)
{
  ConnectMissing(aNow);
  cancelledJobs_.OnTick(aNow);
  for (auto& [linkId, session] : sessions_) {
    MaintainLink(linkId, session, aNow);
  }
}

void
JobAgentLinks::ConnectMissing(MonotonicTime aNow)
{
  for (auto& item : endpoints_) {
    const auto& address = item.first;
    auto& backoff = item.second;
    if (HasLinkTo(address) || !backoff.IsAttemptDue(aNow)) {
      continue;
    }
    auto linkId = linkManager_.Connect(address);
    backoff.OnAttempt(aNow);
    if (linkId) {
      Session session(aNow);
      session.address = address;
      sessions_.emplace(*linkId, std::move(session));
    }
  }
}

void
JobAgentLinks::MaintainLink(link::LinkId aLink,
                            Session& aSession,
                            MonotonicTime aNow)
{
  auto silenceLimit = aSession.isUp ? kSilenceTimeout : kConnectTimeout;
  if (aSession.liveness.IsSilent(silenceLimit, aNow)) {
    if (aSession.isUp) {
      Log::Write(Event::LinkSilent, { { "address", aSession.address } });
    }
    aSession.liveness.Restart(aNow);
    linkManager_.Close(aLink);
    return;
  }
  if (aSession.entry.Value().empty()) {
    return;
  }
  auto statusInterval =
    kStatusIntervalPerEntry * std::max<std::size_t>(linkByEntry_.size(), 1);
  bool isStatusDue =
    aSession.sentStatusRevision != supervisor_.StatusRevision() &&
    aNow - aSession.statusSentAt >= statusInterval;
  if (isStatusDue) {
    SendStatus(aLink, aSession, aNow);
    return;
  }
  auto interval = supervisor_.HasWorkFor(aSession.entry)
                    ? kHeartbeatInterval
                    : kIdleHeartbeatInterval;
  if (aSession.liveness.IsHeartbeatDue(interval, aNow)) {
    SendOn(aLink, aSession, protocol::Heartbeat{ false });
  }
}

void
JobAgentLinks::OnLinkUp(link::LinkId aLink, link::LinkDirection)
{
  auto found = sessions_.find(aLink);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  session.isUp = true;
  auto now = MonotonicNow();
  session.liveness.Restart(now);
  endpoints_.at(session.address).OnConnected();
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
  session.liveness.OnHeaderReceived(aFrame.header, now);
  if (const auto* resume = std::get_if<protocol::RunResume>(&aFrame.message)) {
    OnResume(aLink, session, *resume, now);
  }
  if (!IsCurrent(session.entry, aLink)) {
    return;
  }
  supervisor_.OnRevalidated(session.entry,
                            FromMicroseconds(aFrame.header.echo));
  OnMessage(session, aFrame.message, now);
  auto reply = controlExchange_.OnFrame(aFrame, session.entry.Value(), now);
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
  bool isRenamed =
    !aSession.entry.Value().empty() && aSession.entry != aResume.entry;
  if (isRenamed) {
    Log::Write(Event::FrameRefused,
               { { "entry", aSession.entry.Value() },
                 { "other", aResume.entry.Value() } });
    linkManager_.Close(aLink);
    return;
  }
  aSession.entry = aResume.entry;
  auto previous = linkByEntry_.find(aResume.entry);
  if (previous != linkByEntry_.end() && previous->second != aLink) {
    linkManager_.Close(previous->second);
  }
  linkByEntry_[aResume.entry] = aLink;
  Log::Write(Event::LinkOpened, { { "entry", aResume.entry.Value() } });
  supervisor_.OnResume(aResume, aNow);
  auto cancelled = cancelledJobs_.All();
  if (!cancelled.empty()) {
    SendOn(aLink, aSession, protocol::CancelledJobs{ std::move(cancelled) });
  }
}

void
JobAgentLinks::OnMessage(Session& aSession,
                         const protocol::Message& aMessage,
                         MonotonicTime aNow)
{
  if (const auto* order = std::get_if<protocol::RunOrder>(&aMessage)) {
    supervisor_.OnOrder(aSession.entry, *order, aNow);
    return;
  }
  if (const auto* cancel = std::get_if<protocol::RunCancel>(&aMessage)) {
    supervisor_.OnCancel(aSession.entry, *cancel, aNow);
    return;
  }
  if (const auto* cancelled = std::get_if<protocol::CancelledJobs>(&aMessage)) {
    RelayCancelledJobs(aSession.entry, *cancelled, aNow);
    return;
  }
  if (const auto* list = std::get_if<protocol::EntryList>(&aMessage)) {
    AddEntryAddresses(list->addresses);
  }
}

void
JobAgentLinks::RelayCancelledJobs(const EntryId& aFrom,
                                  const protocol::CancelledJobs& aCancelled,
                                  MonotonicTime aNow)
{
  protocol::CancelledJobs news;
  for (const auto& job : aCancelled.jobs) {
    if (cancelledJobs_.Add(job, aNow)) {
      news.jobs.push_back(job);
    }
  }
  if (news.jobs.empty()) {
    return;
  }
  for (const auto& [entry, linkId] : linkByEntry_) {
    if (entry != aFrom) {
      SendOn(linkId, sessions_.at(linkId), news);
    }
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
  if (session.isUp) {
    Log::Write(
      Event::LinkClosed,
      { { "address", session.address },
        { "reason", std::string(link::LinkCloseReasonName(aReason)) } });
  }
  if (IsCurrent(session.entry, aLink)) {
    linkByEntry_.erase(session.entry);
  }
}

}
