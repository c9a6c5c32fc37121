#include "LibJob/RunSupervisor.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
/**
 * A task may queue if it is expected to start within this share of the time
 * that it has for that; the rest allows for errors of the estimate.
 */
constexpr double kMaxQueueShare = 0.75;
}

void
RunSupervisor::OnRevalidated(const EntryId& aEntry, MonotonicTime aSentAt)
{
  auto found = sessions_.find(aEntry);
  if (found != sessions_.end()) {
    found->second.revalidatedAt =
      std::max(found->second.revalidatedAt, aSentAt);
  }
}

bool
RunSupervisor::IsRevalidated(const EntryId& aEntry, MonotonicTime aNow) const
{
  auto found = sessions_.find(aEntry);
  return found != sessions_.end() &&
         aNow - found->second.revalidatedAt < limits_.entryTimeout;
}

void
RunSupervisor::OnResume(const protocol::RunResume& aResume, MonotonicTime aNow)
{
  auto& session = sessions_[aResume.entry];
  session.ordersSeen = 0;
  std::set<RunKey> awaited;
  std::vector<RunKey> cancelled;
  for (const auto& item : aResume.awaited) {
    for (const auto& task : item.tasks) {
      awaited.insert({ item.job, task });
      if (item.isCancelled) {
        cancelled.push_back({ item.job, task });
      }
    }
  }
  std::erase_if(blockedOrders_, [&](const BlockedOrder& aOrder) {
    return aOrder.entry == aResume.entry && !awaited.contains(aOrder.key);
  });
  std::vector<RunKey> notAwaited;
  for (const auto& [key, run] : runs_) {
    if (run.entry == aResume.entry && !awaited.contains(key)) {
      notAwaited.push_back(key);
    }
  }
  for (const auto& key : notAwaited) {
    Stop(runs_.at(key), StopReason::NotAwaited, aNow);
  }
  SendRecentLosses(aResume.entry);
  for (const auto& key : awaited) {
    if (!IsTracked(aResume.entry, key)) {
      ReportUnknownRun(aResume.entry, key, aNow);
    }
  }
  // The frames that follow renew the contact. These runs must end by the
  // contact before, since their caller may have gone at any time since.
  for (const auto& key : cancelled) {
    if (runs_.contains(key)) {
      Stop(runs_.at(key), StopReason::Cancelled, aNow);
    }
  }
  FlushReports();
}

void
RunSupervisor::SendRecentLosses(const EntryId& aEntry)
{
  std::map<protocol::LossState, protocol::LostRuns> messages;
  for (const auto& loss : recentLosses_) {
    auto& message = messages[loss.state];
    message.state = loss.state;
    message.runs.push_back(loss.run);
  }
  for (auto& item : messages) {
    port_.SendToEntry(aEntry, std::move(item.second));
  }
}

bool
RunSupervisor::IsTracked(const EntryId& aEntry, const RunKey& aKey) const
{
  auto run = runs_.find(aKey);
  if (run != runs_.end() && run->second.entry == aEntry) {
    return true;
  }
  BlockedOrder blocked{ aEntry, aKey };
  return std::find(blockedOrders_.begin(), blockedOrders_.end(), blocked) !=
         blockedOrders_.end();
}

void
RunSupervisor::ReportUnknownRun(const EntryId& aEntry,
                                const RunKey& aKey,
                                MonotonicTime aNow)
{
  auto ended = recentEnds_.find({ aEntry, aKey });
  if (ended != recentEnds_.end()) {
    // The new link renews the contact, but may break before this arrives.
    ended->second.expires = aNow + limits_.endRetention;
    reports_[{ aEntry, aKey.job }].push_back(ended->second.end);
    return;
  }
  // The entry has handled every end that was sent before the last contact.
  auto session = sessions_.find(aEntry);
  bool mayBeForgotten =
    session == sessions_.end() ||
    aNow - session->second.revalidatedAt >= limits_.endRetention;
  if (mayBeForgotten) {
    ReportWithoutRun(aEntry,
                     aKey,
                     protocol::RunOutcome::Stopped,
                     EndEvidence::Forgotten,
                     aNow);
    return;
  }
  // The order never arrived; it was lost with the old link.
  ReportWithoutRun(aEntry,
                   aKey,
                   protocol::RunOutcome::NotRevalidated,
                   EndEvidence::NeverOrdered,
                   aNow);
}

void
RunSupervisor::ReportWithoutRun(const EntryId& aEntry,
                                const RunKey& aKey,
                                protocol::RunOutcome aOutcome,
                                EndEvidence aEvidence,
                                MonotonicTime aNow)
{
  protocol::RunEnd end{ aKey.task, aOutcome, 0 };
  recentEnds_[{ aEntry, aKey }] = { end, aNow + limits_.endRetention };
  reports_[{ aEntry, aKey.job }].push_back(end);
  port_.OnRunEnded(
    { aEntry, aKey.job, end, aEvidence, StopReason::None, {}, {} });
}

void
RunSupervisor::OnOrder(const EntryId& aEntry,
                       const protocol::RunOrder& aOrder,
                       MonotonicTime aNow)
{
  sessions_[aEntry].ordersSeen = aOrder.sequence;
  averageTaskCpu_ =
    averageTaskCpu_ == 0 ? aOrder.cpu : (averageTaskCpu_ * 7 + aOrder.cpu) / 8;
  bool isFull = queue_.size() + aOrder.tasks.size() > limits_.maxQueue;
  for (const auto& task : aOrder.tasks) {
    RunKey key{ aOrder.job, task };
    if (HasRunOfTask(key)) {
      // The same job was submitted to two entries, and the run of the first one
      // has not ended yet.
      blockedOrders_.push_back({ aEntry, key });
      continue;
    }
    Run run;
    run.key = key;
    run.entry = aEntry;
    run.spec = aOrder.spec;
    run.demand = { aOrder.cpu, aOrder.memory, aOrder.accelerators };
    run.priority = aOrder.priority;
    run.estimate = Milliseconds(aOrder.estimateMs);
    run.startBy = aNow + Milliseconds(aOrder.startWithinMs);
    run.isSuspect =
      std::find(aOrder.suspects.begin(), aOrder.suspects.end(), task.index) !=
      aOrder.suspects.end();
    run.arrival = nextArrival_++;
    queue_.insert({ run.priority, run.arrival, key });
    runs_.emplace(key, std::move(run));
    if (isFull) {
      EndUnstarted(key, protocol::RunOutcome::NoRoom, aNow);
    }
  }
  ++statusRevision_;
  StartQueuedRuns(aNow);
  ReturnUnstarted(aEntry, aOrder, aNow);
  CallHoldIfNeeded(aNow);
  FlushReports();
}

void
RunSupervisor::ReleaseBlockedOrders(
  const std::function<bool(const BlockedOrder&)>& aIsDue,
  MonotonicTime aNow)
{
  auto due = std::stable_partition(
    blockedOrders_.begin(), blockedOrders_.end(), std::not_fn(aIsDue));
  for (auto order = due; order != blockedOrders_.end(); ++order) {
    ReportWithoutRun(order->entry,
                     order->key,
                     protocol::RunOutcome::OtherRunActive,
                     EndEvidence::OtherRunActive,
                     aNow);
  }
  blockedOrders_.erase(due, blockedOrders_.end());
}

void
RunSupervisor::ReturnUnstarted(const EntryId& aEntry,
                               const protocol::RunOrder& aOrder,
                               MonotonicTime aNow)
{
  auto maxDelay = Milliseconds(aOrder.startWithinMs) * kMaxQueueShare;
  for (const auto& task : aOrder.tasks) {
    auto found = runs_.find({ aOrder.job, task });
    bool isWaiting = found != runs_.end() && found->second.entry == aEntry &&
                     !found->second.OccupiesResources();
    if (!isWaiting) {
      continue;
    }
    bool mayQueue = aOrder.startWithinMs > 0 &&
                    EstimateStartDelay(found->second, aNow) <= maxDelay;
    if (!mayQueue) {
      EndUnstarted(RunKey(found->first), protocol::RunOutcome::NoRoom, aNow);
    }
  }
}

bool
RunSupervisor::HasRunOfTask(const RunKey& aKey) const
{
  // Runs of the same task are adjacent in the map.
  auto next = runs_.lower_bound({ aKey.job, { aKey.task.index, 0 } });
  return next != runs_.end() && next->first.job == aKey.job &&
         next->first.task.index == aKey.task.index;
}

void
RunSupervisor::OnCancel(const EntryId& aEntry,
                        const protocol::RunCancel& aCancel,
                        MonotonicTime aNow)
{
  for (const auto& task : aCancel.tasks) {
    BlockedOrder blocked{ aEntry, { aCancel.job, task } };
    ReleaseBlockedOrders(
      [&blocked](const BlockedOrder& aOrder) { return aOrder == blocked; },
      aNow);
    auto found = runs_.find({ aCancel.job, task });
    if (found == runs_.end() || found->second.entry != aEntry) {
      continue;
    }
    bool isSkipped = aCancel.scope == protocol::CancelScope::Waiting &&
                     found->second.OccupiesResources();
    if (isSkipped) {
      reports_[{ aEntry, aCancel.job }].push_back(
        { task, protocol::RunOutcome::StillRunning, 0 });
      continue;
    }
    Stop(found->second, StopReason::Cancelled, aNow);
  }
  StartQueuedRuns(aNow);
  FlushReports();
}

void
RunSupervisor::OnControlChanged(MonotonicTime aNow)
{
  ++statusRevision_;
  StartQueuedRuns(aNow);
  FlushReports();
}

bool
RunSupervisor::MayStart() const
{
  // Without the operators' configuration it is unknown which failure domains
  // are closed.
  return control_.Revision() != 0 && runner_ && runner_->isReconciled &&
         !IsSuccessorAnnounced() && runner_->isReachable && !isStopping_ &&
         !runner_->isLeaving && runner_->report.state == RunnerState::Ready &&
         !control_.IsClosed(runner_->report.domain);
}

bool
RunSupervisor::HasSuspectRun() const
{
  return std::any_of(runs_.begin(), runs_.end(), [](const auto& aItem) {
    return aItem.second.isSuspect && aItem.second.OccupiesResources();
  });
}

void
RunSupervisor::StartQueuedRuns(MonotonicTime aNow)
{
  if (queue_.empty()) {
    return;
  }
  if (!MayStart()) {
    bool isClosed = runner_ && control_.IsClosed(runner_->report.domain);
    bool isReconciling =
      runner_ && (!runner_->isReconciled || IsSuccessorAnnounced()) &&
      runner_->isReachable && !isStopping_ && !isClosed &&
      !runner_->isLeaving && runner_->report.state == RunnerState::Ready;
    if (!isReconciling) {
      ReturnQueue(isClosed ? protocol::RunOutcome::DomainClosed
                           : protocol::RunOutcome::Leaving,
                  aNow);
    }
    return;
  }
  EndUnstartableRuns(aNow);
  if (!CanLease(aNow) || !IsRoomKnown(aNow)) {
    return;
  }
  std::set<RunKey> heldBack;
  std::size_t heldBackBefore = 0;
  do {
    heldBackBefore = heldBack.size();
    StartByPolicy(heldBack, aNow);
    // A run that is held back must not take the place of another one.
  } while (heldBack.size() > heldBackBefore);
}

void
RunSupervisor::StartByPolicy(std::set<RunKey>& aHeldBack, MonotonicTime aNow)
{
  std::vector<RunKey> startable;
  for (const auto& item : queue_) {
    const auto& key = std::get<RunKey>(item);
    if (!aHeldBack.contains(key)) {
      startable.push_back(key);
    }
  }
  bool isRunnerSuspect = health_.IsSuspect(aNow);
  auto load = DescribeLoad(startable, aNow);
  for (auto index : limits_.startPolicy->RunsToStart(load)) {
    auto& run = runs_.at(startable[index]);
    bool mustBeApart = (isRunnerSuspect && CountOccupyingRuns() > 0) ||
                       (run.isSuspect && HasSuspectRun());
    if (mustBeApart || !DoesLeaseEndInTime(run)) {
      aHeldBack.insert(run.key);
      continue;
    }
    Start(run, aNow);
  }
}

void
RunSupervisor::EndUnstartableRuns(MonotonicTime aNow)
{
  auto waiting = queue_;
  for (const auto& item : waiting) {
    const auto& run = runs_.at(std::get<RunKey>(item));
    if (!IsRevalidated(run.entry, aNow)) {
      EndUnstarted(RunKey(run.key), protocol::RunOutcome::NotRevalidated, aNow);
    } else if (run.startBy < aNow) {
      EndUnstarted(RunKey(run.key), protocol::RunOutcome::Expired, aNow);
    } else if (IsBeyondRoom(run, aNow)) {
      EndUnstarted(RunKey(run.key), protocol::RunOutcome::NoRoom, aNow);
    }
  }
}

RunnerLoad
RunSupervisor::DescribeLoad(const std::vector<RunKey>& aQueue,
                            MonotonicTime aNow) const
{
  RunnerLoad load;
  load.free = FreeResources();
  for (const auto& [key, run] : runs_) {
    if (run.OccupiesResources()) {
      load.active.push_back({ run.demand, EstimateRemaining(run, aNow) });
    }
  }
  for (const auto& key : aQueue) {
    const auto& run = runs_.at(key);
    load.queue.push_back({ run.demand, EstimateRunTime(run.estimate) });
  }
  return load;
}

void
RunSupervisor::Start(Run& aRun, MonotonicTime aNow)
{
  queue_.erase({ aRun.priority, aRun.arrival, aRun.key });
  aRun.phase = RunPhase::Starting;
  aRun.calledAt = aNow;
  ++statusRevision_;
  CallStart(aRun, aNow);
}

void
RunSupervisor::ReturnQueue(protocol::RunOutcome aWhy, MonotonicTime aNow)
{
  auto waiting = queue_;
  for (const auto& item : waiting) {
    EndUnstarted(std::get<RunKey>(item), aWhy, aNow);
  }
}

void
RunSupervisor::OnTick(MonotonicTime aNow)
{
  health_.OnTick(aNow);
  SaveLearnedSlowness(aNow);
  UpdateRoomKnown(aNow);
  RepeatVerificationIfDue(aNow);
  bool hasLeaseExpired = runner_ && aNow > runner_->leasesExpireAt;
  if (hasLeaseExpired && CountOccupyingRuns() > 0) {
    // The runner has not answered for so long that all leases there have
    // expired. The higher token fences off delayed start calls.
    bool isLossSuspected = IsRunnerSilent(aNow) && !runner_->isLeaving;
    EndRunsExcept({},
                  isLossSuspected ? EndEvidence::RunnerSilent
                                  : EndEvidence::LeaseExpired,
                  aNow);
    RaiseToken(1);
    ++statusRevision_;
  }
  std::vector<RunKey> notRevalidated;
  for (auto& [key, run] : runs_) {
    if (!IsRevalidated(run.entry, aNow)) {
      notRevalidated.push_back(key);
    } else if (run.IsStopping() && runner_ && runner_->isReachable) {
      CallStop(run);
    }
  }
  for (const auto& key : notRevalidated) {
    Stop(runs_.at(key), StopReason::EntryLost, aNow);
  }
  StartQueuedRuns(aNow);
  CallHoldIfNeeded(aNow);
  FlushReports();
  ReleaseRunnerIfDue(aNow);
  while (!recentLosses_.empty() && recentLosses_.front().expires <= aNow) {
    recentLosses_.pop_front();
  }
  std::erase_if(recentEnds_, [aNow](const auto& aItem) {
    return aItem.second.expires <= aNow;
  });
}

void
RunSupervisor::BeginStop(MonotonicTime aNow)
{
  isStopping_ = true;
  ++statusRevision_;
  ReturnQueue(protocol::RunOutcome::Leaving, aNow);
  FlushReports();
}

bool
RunSupervisor::HasWorkFor(const EntryId& aEntry) const
{
  return std::any_of(runs_.begin(), runs_.end(), [&aEntry](const auto& aItem) {
    return aItem.second.entry == aEntry;
  });
}

}
