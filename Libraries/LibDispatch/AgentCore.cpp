#include "LibDispatch/AgentCore.h"

#include <algorithm>
#include <unordered_set>

namespace vanillaworks::dispatch {

using protocol::RefusalReason;
using protocol::ResultCode;

AgentCore::AgentCore(protocol::AgentHello aIdentity,
                     AgentLimits aLimits,
                     ConfigurationHolder& aConfiguration,
                     AgentPort& aPort)
  : identity_(std::move(aIdentity))
  , limits_(aLimits)
  , configuration_(aConfiguration)
  , port_(aPort)
  , gate_(identity_.upstream, identity_.domain, aLimits.gate, aConfiguration)
{
}

void
AgentCore::OnWelcome(const protocol::Welcome& aWelcome)
{
  if (IsOutdated(aWelcome)) {
    // An earlier incarnation of this entry resumed late. Without a session its
    // frames are ignored.
    sessions_.erase(aWelcome.entry);
    return;
  }
  sessions_[aWelcome.entry] = { aWelcome.incarnation, {} };
  Reconcile(aWelcome);
}

bool
AgentCore::IsOutdated(const protocol::Welcome& aWelcome) const
{
  auto known = sessions_.find(aWelcome.entry);
  return known != sessions_.end() &&
         known->second.incarnation > aWelcome.incarnation;
}

void
AgentCore::Reconcile(const protocol::Welcome& aWelcome)
{
  EntryIdentity identity{ aWelcome.entry, aWelcome.incarnation };
  protocol::Reconcile reconcile;
  for (const auto& key : aWelcome.outstanding) {
    // The previous connection is closed on this side, so a task that has not
    // arrived on it never will.
    if (!IsWaiting(key) && !started_.contains(key)) {
      reconcile.neverReceived.push_back(key);
    }
  }
  port_.SendToEntry(aWelcome.entry, reconcile);
  for (const auto& [number, held] : heldResults_) {
    auto started = started_.find(held.result.key);
    if (started != started_.end() && started->second.owner == identity) {
      port_.SendToEntry(aWelcome.entry, held.result);
    }
  }
}

void
AgentCore::OnLinkDown(const EntryId& aEntry)
{
  sessions_.erase(aEntry);
}

void
AgentCore::OnFrame(const EntryId& aEntry,
                   const protocol::Frame& aFrame,
                   MonotonicTime aNow)
{
  auto found = sessions_.find(aEntry);
  if (found == sessions_.end()) {
    return;
  }
  auto& session = found->second;
  const auto& message = aFrame.message;
  if (const auto* update =
        std::get_if<protocol::ConfigurationUpdate>(&message)) {
    OnConfiguration(*update, aNow);
  }
  OnHeader(aEntry, session, aFrame.header);
  if (const auto* start = std::get_if<protocol::Start>(&message)) {
    OnStart(aEntry, session, *start, aNow);
  } else if (const auto* cancel = std::get_if<protocol::Cancel>(&message)) {
    OnCancel(*cancel);
  } else if (const auto* fence = std::get_if<protocol::Fence>(&message)) {
    OnFence(aEntry, session, *fence, aNow);
  } else if (const auto* registered =
               std::get_if<protocol::Registered>(&message)) {
    OnRegistered(*registered, aNow);
  }
  StartQueuedTasks(aNow);
}

void
AgentCore::OnHeader(const EntryId& aEntry,
                    Session& aSession,
                    const protocol::Header& aHeader)
{
  if (aHeader.echo != 0) {
    aSession.echo = std::max(aSession.echo, FromMicroseconds(aHeader.echo));
  }
  for (auto number : aHeader.acknowledged) {
    OnAcknowledged({ aEntry, aSession.incarnation }, number);
  }
  if (aHeader.echo != 0 && aHeader.versionAgeUs >= 0) {
    // The frame was written after the echoed send time. Counting from that
    // time never overestimates the freshness of the version, however long the
    // frame was buffered or this process was suspended.
    gate_.OnRevalidated(aHeader.version,
                        aSession.echo - Microseconds(aHeader.versionAgeUs));
  }
  if (aHeader.version < configuration_.Current()->version) {
    auto current = configuration_.Current();
    port_.SendToEntry(
      aEntry, protocol::ConfigurationUpdate{ current->version, current->text });
  }
}

void
AgentCore::OnConfiguration(const protocol::ConfigurationUpdate& aUpdate,
                           MonotonicTime aNow)
{
  auto parsed = ConfigurationDocument::Parse(aUpdate.version, aUpdate.document);
  if (parsed.IsError()) {
    // FIXME: Count documents of a newer release that this one can't parse.
    return;
  }
  if (configuration_.Adopt(parsed.ReleaseValue()) == Adoption::Adopted) {
    RefuseDisallowedTasks(aNow);
  }
}

void
AgentCore::OnStart(const EntryId& aEntry,
                   const Session& aSession,
                   const protocol::Start& aStart,
                   MonotonicTime aNow)
{
  EntryIdentity sender{ aEntry, aSession.incarnation };
  // The remaining time in a frame that was buffered for long is too large.
  if (aNow - aSession.echo > limits_.gate.maxConfigurationAge) {
    return Refuse(sender, aStart.key, RefusalReason::ConfigurationStale);
  }
  if (IsWaiting(aStart.key)) {
    return port_.CountRefusal(RefusalReason::Duplicate);
  }
  QueuedTask task{ aStart, sender, aNow + Microseconds(aStart.remaining) };
  auto reason = gate_.Check(RequestOf(task), aNow);
  if (reason == RefusalReason::Duplicate) {
    return AnswerDuplicate(sender, aStart.key);
  }
  if (reason == RefusalReason::None && gate_.Breaker().IsSetAside() &&
      !queue_.empty()) {
    reason = RefusalReason::SetAside;
  }
  if (reason == RefusalReason::None && !gate_.HasSlot() &&
      queue_.size() >= limits_.queue) {
    reason = RefusalReason::QueueFull;
  }
  if (reason != RefusalReason::None) {
    return Refuse(sender, aStart.key, reason);
  }
  QueueOrder order{ aStart.rank, nextQueued_++ };
  waiting_.emplace(aStart.key, order);
  ++unfinishedByEntry_[aEntry];
  queue_.emplace(order, std::move(task));
}

void
AgentCore::OnCancel(const protocol::Cancel& aCancel)
{
  for (const auto& key : aCancel.keys) {
    auto waiting = waiting_.find(key);
    if (waiting == waiting_.end()) {
      continue;
    }
    auto queued = queue_.find(waiting->second);
    auto sender = queued->second.sender;
    queue_.erase(queued);
    waiting_.erase(waiting);
    --unfinishedByEntry_[sender.entry];
    Refuse(sender, key, RefusalReason::Cancelled);
  }
}

void
AgentCore::OnFence(const EntryId& aFrom,
                   const Session& aSession,
                   const protocol::Fence& aFence,
                   MonotonicTime aNow)
{
  EntryIdentity owner{ aFrom, aSession.incarnation };
  for (const auto& [entry, incarnation] : aFence.fences) {
    gate_.FenceIncarnation({ entry, incarnation });
  }
  RefuseDisallowedTasks(aNow);
  protocol::FenceReport report;
  report.round = aFence.round;
  std::unordered_set<SubmissionId> queriedSubmissions(
    aFence.submissions.begin(), aFence.submissions.end());
  for (auto& [key, task] : started_) {
    // The owner may have changed several times, so tasks are matched by
    // submission only.
    if (!queriedSubmissions.contains(key.submission)) {
      continue;
    }
    task.owner = owner;
    auto held = heldResults_.find(task.result);
    if (task.running) {
      report.running.push_back(key);
    } else if (held != heldResults_.end()) {
      report.ended.push_back(held->second.result);
    } else {
      report.forgotten.push_back(key);
    }
  }
  port_.SendToEntry(aFrom, std::move(report));
}

void
AgentCore::OnRegistered(const protocol::Registered& aRegistered,
                        MonotonicTime aNow)
{
  // Fences must be applied before the registration, which permits claimed
  // tasks to start.
  for (const auto& [entry, incarnation] : aRegistered.fences) {
    gate_.FenceIncarnation({ entry, incarnation });
  }
  gate_.SetRegistered();
  RefuseDisallowedTasks(aNow);
}

void
AgentCore::OnTick(MonotonicTime aNow)
{
  RefuseDisallowedTasks(aNow);
  StartQueuedTasks(aNow);
  if (gate_.Expire(aNow) > 0) {
    std::erase_if(started_, [this](const auto& aItem) {
      return !aItem.second.running && !gate_.HasStarted(aItem.first);
    });
  }
  DropExpiredResults(aNow);
}

void
AgentCore::BeginStop(MonotonicTime aNow)
{
  gate_.BeginStop();
  RefuseDisallowedTasks(aNow);
}

void
AgentCore::StartQueuedTasks(MonotonicTime aNow)
{
  auto next = queue_.begin();
  while (next != queue_.end() && gate_.HasSlot()) {
    auto reason = gate_.Start(RequestOf(next->second), aNow);
    if (reason == RefusalReason::SetAside) {
      // The task stays queued until it may start as the next probe.
      return;
    }
    auto task = std::move(next->second);
    waiting_.erase(task.start.key);
    next = queue_.erase(next);
    if (reason != RefusalReason::None) {
      --unfinishedByEntry_[task.sender.entry];
      Refuse(task.sender, task.start.key, reason);
      continue;
    }
    auto& started = started_[task.start.key];
    DropHeldResult(started.result);
    started = { task.sender, task.sender, task.deadline, true, 0 };
    port_.RunOnUpstream(task.start, task.deadline);
  }
}

void
AgentCore::RefuseDisallowedTasks(MonotonicTime aNow)
{
  for (auto next = queue_.begin(); next != queue_.end();) {
    auto reason = gate_.Check(RequestOf(next->second), aNow);
    if (reason == RefusalReason::None) {
      ++next;
      continue;
    }
    auto task = std::move(next->second);
    waiting_.erase(task.start.key);
    next = queue_.erase(next);
    --unfinishedByEntry_[task.sender.entry];
    Refuse(task.sender, task.start.key, reason);
  }
}

void
AgentCore::Refuse(const EntryIdentity& aOwner,
                  const protocol::TaskKey& aKey,
                  RefusalReason aReason)
{
  port_.CountRefusal(aReason);
  protocol::TaskResult result;
  result.key = aKey;
  result.code = ResultCode::NotStarted;
  result.reason = aReason;
  SendToOwner(aOwner, std::move(result));
}

void
AgentCore::SendToOwner(const EntryIdentity& aOwner, protocol::Message aMessage)
{
  auto session = sessions_.find(aOwner.entry);
  if (session == sessions_.end() ||
      session->second.incarnation != aOwner.incarnation) {
    return;
  }
  port_.SendToEntry(aOwner.entry, std::move(aMessage));
}

GateRequest
AgentCore::RequestOf(const QueuedTask& aTask) const
{
  return { aTask.start.key,
           aTask.sender,
           aTask.deadline,
           aTask.start.demand,
           aTask.start.claimed };
}

}
