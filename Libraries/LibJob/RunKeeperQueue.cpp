#include "LibJob/RunKeeper.h"

#include <algorithm>

namespace vanillaworks::job {

void
RunKeeper::OnVouched(const EntryId& aEntry, MonotonicTime aSaidAt)
{
  auto found = sessions_.find(aEntry);
  if (found != sessions_.end()) {
    found->second.vouchedAt = std::max(found->second.vouchedAt, aSaidAt);
  }
}

bool
RunKeeper::IsVouched(const EntryId& aEntry, MonotonicTime aNow) const
{
  auto found = sessions_.find(aEntry);
  return found != sessions_.end() &&
         aNow - found->second.vouchedAt < limits_.vouch;
}

void
RunKeeper::OnResume(const protocol::RunResume& aResume, MonotonicTime aNow)
{
  auto& session = sessions_[aResume.entry];
  session.ordersSeen = 0;
  std::set<RunKey> awaited;
  for (const auto& item : aResume.awaited) {
    for (const auto& task : item.tasks) {
      awaited.insert({ item.job, task });
    }
  }
  std::vector<RunKey> leftOver;
  for (const auto& [key, run] : runs_) {
    if (run.entry == aResume.entry && !awaited.contains(key)) {
      leftOver.push_back(key);
    }
  }
  for (const auto& key : leftOver) {
    Stop(runs_.at(key), protocol::RunOutcome::Stopped, aNow);
  }
  for (const auto& key : awaited) {
    if (runs_.contains(key)) {
      continue;
    }
    // What was never seen was lost with the old link and can't come any more.
    auto ended = recentEnds_.find({ aResume.entry, key });
    auto end =
      ended != recentEnds_.end()
        ? ended->second.end
        : protocol::RunEnd{ key.task, protocol::RunOutcome::NotRevalidated, 0 };
    reports_[{ aResume.entry, key.job }].push_back(end);
  }
  FlushReports();
}

void
RunKeeper::OnOrder(const EntryId& aEntry,
                   const protocol::RunOrder& aOrder,
                   MonotonicTime aNow)
{
  sessions_[aEntry].ordersSeen = aOrder.sequence;
  usualCpu_ = usualCpu_ == 0 ? aOrder.cpu : (usualCpu_ * 7 + aOrder.cpu) / 8;
  bool isFull = queue_.size() + aOrder.tasks.size() > limits_.maxQueue;
  for (const auto& task : aOrder.tasks) {
    RunKey key{ aOrder.job, task };
    if (IsLive(key)) {
      // The same job at two entries: the first one's run is not over yet.
      reports_[{ aEntry, key.job }].push_back(
        { task, protocol::RunOutcome::NoRoom, 0 });
      continue;
    }
    Run run;
    run.key = key;
    run.entry = aEntry;
    run.spec = aOrder.spec;
    run.room = { aOrder.cpu, aOrder.memory, aOrder.accelerators };
    run.priority = aOrder.priority;
    run.estimate = Milliseconds(aOrder.estimateMs);
    run.startBy = aNow + Milliseconds(aOrder.startWithinMs);
    run.arrival = arrivals_++;
    queue_.insert({ run.priority, run.arrival, key });
    runs_.emplace(key, std::move(run));
    if (isFull) {
      End(key, protocol::RunOutcome::NoRoom, aNow);
    }
  }
  ++statusRevision_;
  StartWhatFits(aNow);
  if (aOrder.startWithinMs == 0) {
    GiveBack(aOrder, aNow);
  }
  HoldIfNeeded(aNow);
  FlushReports();
}

void
RunKeeper::GiveBack(const protocol::RunOrder& aOrder, MonotonicTime aNow)
{
  for (const auto& task : aOrder.tasks) {
    auto found = runs_.find({ aOrder.job, task });
    if (found != runs_.end() && !found->second.TakesRoom()) {
      End(RunKey(found->first), protocol::RunOutcome::NoRoom, aNow);
    }
  }
}

bool
RunKeeper::IsLive(const RunKey& aKey) const
{
  // Runs of one task stand next to each other.
  auto next = runs_.lower_bound({ aKey.job, { aKey.task.index, 0 } });
  return next != runs_.end() && next->first.job == aKey.job &&
         next->first.task.index == aKey.task.index;
}

void
RunKeeper::OnCancel(const EntryId& aEntry,
                    const protocol::RunCancel& aCancel,
                    MonotonicTime aNow)
{
  for (const auto& task : aCancel.tasks) {
    auto found = runs_.find({ aCancel.job, task });
    if (found == runs_.end() || found->second.entry != aEntry) {
      continue;
    }
    bool isSpared = aCancel.scope == protocol::CancelScope::Waiting &&
                    found->second.TakesRoom();
    if (isSpared) {
      reports_[{ aEntry, aCancel.job }].push_back(
        { task, protocol::RunOutcome::StillRunning, 0 });
      continue;
    }
    Stop(found->second, protocol::RunOutcome::Stopped, aNow);
  }
  StartWhatFits(aNow);
  FlushReports();
}

void
RunKeeper::OnControlChanged(MonotonicTime aNow)
{
  ++statusRevision_;
  StartWhatFits(aNow);
  FlushReports();
}

bool
RunKeeper::MayStart() const
{
  // Before it has heard of the operators, it can't know what they closed.
  return control_.Revision() != 0 && life_ && life_->settled &&
         life_->isReachable && !stopping_ &&
         life_->report.state == RunnerState::Ready &&
         !control_.IsClosed(life_->report.domain);
}

Room
RunKeeper::Free() const
{
  if (!life_) {
    return {};
  }
  auto free = life_->report.capacity;
  for (const auto& [key, run] : runs_) {
    if (run.TakesRoom()) {
      free -= run.room;
    }
  }
  return free;
}

void
RunKeeper::StartWhatFits(MonotonicTime aNow)
{
  if (queue_.empty()) {
    return;
  }
  if (!MayStart()) {
    bool isClosed = life_ && control_.IsClosed(life_->report.domain);
    bool isUnsettled = life_ && !life_->settled && life_->isReachable &&
                       !stopping_ && !isClosed &&
                       life_->report.state == RunnerState::Ready;
    if (!isUnsettled) {
      GiveBackQueue(isClosed ? protocol::RunOutcome::DomainClosed
                             : protocol::RunOutcome::Leaving,
                    aNow);
    }
    return;
  }
  auto free = Free();
  auto taken = Taken();
  bool isSuspect = condition_.IsSuspect(aNow);
  auto waiting = queue_;
  for (const auto& item : waiting) {
    auto& run = runs_.at(std::get<RunKey>(item));
    if (!IsVouched(run.entry, aNow)) {
      End(RunKey(run.key), protocol::RunOutcome::NotRevalidated, aNow);
      continue;
    }
    if (run.startBy < aNow) {
      End(RunKey(run.key), protocol::RunOutcome::Expired, aNow);
      continue;
    }
    if (!free.Fits(run.room) || (isSuspect && taken > 0)) {
      continue;
    }
    free -= run.room;
    ++taken;
    Start(run, aNow);
  }
}

void
RunKeeper::Start(Run& aRun, MonotonicTime aNow)
{
  queue_.erase({ aRun.priority, aRun.arrival, aRun.key });
  aRun.phase = RunPhase::Starting;
  aRun.calledAt = aNow;
  ++statusRevision_;
  CallStart(aRun, aNow);
}

void
RunKeeper::GiveBackQueue(protocol::RunOutcome aWhy, MonotonicTime aNow)
{
  auto waiting = queue_;
  for (const auto& item : waiting) {
    End(std::get<RunKey>(item), aWhy, aNow);
  }
}

void
RunKeeper::OnTick(MonotonicTime aNow)
{
  condition_.OnTick(aNow);
  bool isLeaseOver = life_ && aNow > life_->leaseOver;
  if (isLeaseOver && Taken() > 0) {
    // The runner did not answer for so long that nothing can run there; a
    // higher token keeps late starts out.
    LoseRunsBut({}, aNow);
    RaiseToken(1);
    ++statusRevision_;
  }
  std::vector<RunKey> unvouched;
  for (auto& [key, run] : runs_) {
    if (!IsVouched(run.entry, aNow)) {
      unvouched.push_back(key);
    } else if (run.stopping && life_ && life_->isReachable) {
      CallStop(run);
    }
  }
  for (const auto& key : unvouched) {
    Stop(runs_.at(key), protocol::RunOutcome::Stopped, aNow);
  }
  StartWhatFits(aNow);
  HoldIfNeeded(aNow);
  FlushReports();
  std::erase_if(recentEnds_, [aNow](const auto& aItem) {
    return aItem.second.expires <= aNow;
  });
}

void
RunKeeper::BeginStop(MonotonicTime aNow)
{
  stopping_ = true;
  ++statusRevision_;
  GiveBackQueue(protocol::RunOutcome::Leaving, aNow);
  FlushReports();
}

bool
RunKeeper::HasWorkFor(const EntryId& aEntry) const
{
  return std::any_of(runs_.begin(), runs_.end(), [&aEntry](const auto& aItem) {
    return aItem.second.entry == aEntry;
  });
}

Milliseconds
RunKeeper::Remaining(const Run& aRun, MonotonicTime aNow) const
{
  constexpr std::int64_t kPermille = 1000;
  constexpr Milliseconds kLeast{ 5 };
  auto elapsed = std::chrono::duration_cast<Milliseconds>(aNow - aRun.calledAt);
  if (aRun.percent >= kTellingPercent) {
    auto worked =
      std::chrono::duration_cast<Milliseconds>(aRun.progressAt - aRun.calledAt);
    auto whole = worked * kWholePercent / aRun.percent;
    return std::max(whole - elapsed, kLeast);
  }
  auto whole = aRun.estimate * condition_.SlownessPermille() / kPermille;
  if (whole > elapsed) {
    return std::max(whole - elapsed, kLeast);
  }
  // Its estimate was too low: the longer it has run, the further off.
  return std::max(elapsed / 4, kLeast);
}

Milliseconds
RunKeeper::StartIn(MonotonicTime aNow) const
{
  auto free = Free().cpu - usualCpu_;
  for (const auto& item : queue_) {
    free -= runs_.at(std::get<RunKey>(item)).room.cpu;
  }
  if (free >= 0) {
    return Milliseconds{ 0 };
  }
  std::vector<std::pair<Milliseconds, std::int64_t>> ends;
  for (const auto& [key, run] : runs_) {
    auto remaining = Remaining(run, aNow);
    if (run.TakesRoom()) {
      ends.emplace_back(remaining, run.room.cpu);
    }
  }
  std::sort(ends.begin(), ends.end());
  Milliseconds when{ 0 };
  for (const auto& [remaining, cpu] : ends) {
    when = remaining;
    free += cpu;
    if (free >= 0) {
      return when;
    }
  }
  // All that runs ends before what waits has room: count that on top.
  constexpr std::int64_t kRoundUp = 1;
  auto rounds =
    -free / std::max<std::int64_t>(life_ ? life_->report.capacity.cpu : 1, 1);
  return when * (rounds + kRoundUp + 1);
}

protocol::UpstreamStatus
RunKeeper::Status(const EntryId& aEntry, MonotonicTime aNow) const
{
  protocol::UpstreamStatus status;
  status.upstream = upstream_;
  status.incarnation = incarnation_;
  auto session = sessions_.find(aEntry);
  if (session != sessions_.end()) {
    status.ordersSeen = session->second.ordersSeen;
  }
  if (!life_) {
    return status;
  }
  const auto& report = life_->report;
  status.service = report.service;
  status.domain = report.domain;
  status.labels = report.labels;
  status.cpu = report.capacity.cpu;
  status.memory = report.capacity.memory;
  status.accelerators = report.capacity.accelerators;
  auto free = Free();
  for (const auto& item : queue_) {
    free -= runs_.at(std::get<RunKey>(item)).room;
  }
  status.cpuFree = free.cpu;
  status.memoryFree = free.memory;
  status.acceleratorsFree = free.accelerators;
  status.startInMs = StartIn(aNow).count();
  status.slownessPermille = condition_.SlownessPermille();
  status.accepting = MayStart();
  status.suspect = condition_.IsSuspect(aNow);
  return status;
}

}
