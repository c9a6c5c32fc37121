#include "LibJob/JobDispatcher.h"

#include <algorithm>
#include <tuple>

namespace vanillaworks::job {

namespace {
/**
 * Minimum interval between placement attempts for waiting jobs that are
 * triggered by status updates.
 */
constexpr Milliseconds kRetryInterval{ 5 };
/**
 * How long a caller counts as connected after it was seen to be. Much shorter
 * than the time after which a caller that has gone tries another entry.
 */
constexpr Milliseconds kCallerCheckInterval{ 100 };
}

JobDispatcher::JobDispatcher(JobDispatcherLimits aLimits,
                             const ControlView& aControl,
                             std::uint64_t aSeed,
                             JobDispatcherPort& aPort)
  : limits_(aLimits)
  , control_(aControl)
  , port_(aPort)
  , placement_(aSeed, aLimits.remoteDataFactor)
  , admission_(
      AdmissionPolicy::Create(aLimits.admission, aLimits.guaranteedShare))
  , cancelledJobs_(aLimits.maxCancelledJobs)
{
}

void
JobDispatcher::BeginWarmUp(MonotonicTime aNow)
{
  warmUpUntil_ = aNow + limits_.warmUp;
}

void
JobDispatcher::Submit(JobRequest aRequest, WaiterId aWaiter, MonotonicTime aNow)
{
  if (cancelledJobs_.Contains(aRequest.id)) {
    port_.Answer(
      aWaiter, aRequest, { JobState::Cancelled, JobReason::ByCaller, {} });
    return;
  }
  auto known = jobs_.find(aRequest.id);
  if (known != jobs_.end()) {
    Reattach(known->second, aWaiter, aNow);
    return;
  }
  auto answered = answered_.find(aRequest.id);
  if (answered != answered_.end()) {
    port_.Answer(aWaiter, aRequest, answered->second.answer);
    return;
  }
  if (jobs_.size() >= limits_.maxJobs) {
    auto state =
      MayHaveStarted(aRequest.id) ? JobState::GivenUp : JobState::Rejected;
    port_.Answer(aWaiter,
                 aRequest,
                 { state, JobReason::TooLate, placement_.RetryAfter() });
    return;
  }
  admission_->OnAsked(aRequest, aNow);
  auto id = aRequest.id;
  Job job;
  job.tasks.resize(aRequest.tasks);
  job.request = std::move(aRequest);
  job.waiter = aWaiter;
  job.hasStarted = MayHaveStarted(id);
  auto& added = jobs_.emplace(id, std::move(job)).first->second;
  Advance(added, aNow);
}

void
JobDispatcher::Reattach(Job& aJob, WaiterId aWaiter, MonotonicTime aNow)
{
  // The caller submits the job again because the connection of its first
  // attempt was lost. Attempts that waited in sockets may be read in any order,
  // so an attempt that is over must not replace the one that is waiting.
  if (!port_.IsCallerConnected(aWaiter)) {
    return;
  }
  aJob.waiter = aWaiter;
  aJob.callerSeenAt = aNow;
  if (aJob.intent != JobIntent::Abandon) {
    return;
  }
  aJob.intent = JobIntent::Serve;
  auto wait = aJob.request.deadline - aJob.request.arrival;
  aJob.request.arrival = aNow;
  aJob.request.deadline = aNow + wait;
  aJob.isLate = false;
  Advance(aJob, aNow);
}

void
JobDispatcher::OnWaiterDisconnected(const SubmissionId& aJob, WaiterId aWaiter)
{
  auto found = jobs_.find(aJob);
  if (found == jobs_.end() || found->second.waiter != aWaiter) {
    return;
  }
  Abandon(found->second);
}

void
JobDispatcher::Abandon(Job& aJob)
{
  // The caller may submit the job to another entry; the runs here must have
  // ended by then.
  waitingJobs_.erase(aJob.request.id);
  aJob.waiter.reset();
  aJob.intent = JobIntent::Abandon;
  if (aJob.outstanding == 0) {
    Erase(SubmissionId(aJob.request.id));
    return;
  }
  CancelOutstanding(aJob, protocol::CancelScope::All);
}

bool
JobDispatcher::HasCaller(Job& aJob, MonotonicTime aNow)
{
  if (!aJob.waiter) {
    return false;
  }
  if (aNow - aJob.callerSeenAt < kCallerCheckInterval) {
    return true;
  }
  if (!port_.IsCallerConnected(*aJob.waiter)) {
    return false;
  }
  aJob.callerSeenAt = aNow;
  return true;
}

bool
JobDispatcher::IsServing(const SubmissionId& aJob) const
{
  auto found = jobs_.find(aJob);
  return found != jobs_.end() && found->second.intent != JobIntent::Abandon;
}

bool
JobDispatcher::MayHaveStarted(const SubmissionId& aJob) const
{
  auto found = jobs_.find(aJob);
  bool isOutstanding = found != jobs_.end() && found->second.outstanding != 0;
  return isOutstanding || startedJobs_.Contains(aJob) ||
         lostRunners_.KnowsJob(aJob);
}

std::size_t
JobDispatcher::Pending(const std::string& aRouteName) const
{
  return static_cast<std::size_t>(
    std::count_if(jobs_.begin(), jobs_.end(), [&aRouteName](const auto& aItem) {
      const auto& job = aItem.second;
      return job.request.route.name == aRouteName && job.outstanding == 0 &&
             !job.hasStarted && job.intent != JobIntent::Abandon;
    }));
}

bool
JobDispatcher::IsIdle() const
{
  return std::none_of(jobs_.begin(), jobs_.end(), [](const auto& aItem) {
    return aItem.second.waiter.has_value();
  });
}

bool
JobDispatcher::HasUsableUpstream(MonotonicTime aNow) const
{
  return std::any_of(views_.begin(), views_.end(), [&](const auto& aItem) {
    const auto& view = aItem.second;
    return view.IsUsable(aNow) && !control_.IsClosed(view.Status().domain);
  });
}

void
JobDispatcher::AbandonAll(MonotonicTime aNow)
{
  std::vector<SubmissionId> waiting;
  for (const auto& [id, job] : jobs_) {
    if (job.waiter) {
      waiting.push_back(id);
    }
  }
  for (const auto& id : waiting) {
    Finish(jobs_.at(id), { JobState::GivenUp, JobReason::Stopping, {} }, aNow);
  }
}

bool
JobDispatcher::HasOutstanding(const UpstreamId& aUpstream) const
{
  auto found = views_.find(aUpstream);
  return found != views_.end() && !found->second.Outstanding().empty();
}

std::vector<protocol::RunCancel>
JobDispatcher::OnAgentUp(const protocol::UpstreamStatus& aStatus,
                         MonotonicTime aNow)
{
  auto& view = views_[aStatus.upstream];
  bool isSameIncarnation = view.Status().incarnation == aStatus.incarnation;
  if (!isSameIncarnation) {
    // An agent's new incarnation can't report on runs of the earlier one.
    OnAgentDown(aStatus.upstream, aNow);
    view.Outstanding().clear();
  }
  view.OnLinked(aNow);
  view.OnStatus(aStatus, aNow);
  std::vector<protocol::RunCancel> awaited;
  for (const auto& [id, tasks] : view.Outstanding()) {
    protocol::RunCancel item{ id, { tasks.begin(), tasks.end() }, {} };
    auto& job = jobs_.at(id);
    item.isCancelled = job.intent == JobIntent::Abandon;
    for (const auto& task : tasks) {
      job.tasks[task.index].state = TaskState::Ordered;
    }
    awaited.push_back(std::move(item));
  }
  return awaited;
}

void
JobDispatcher::OnAgentResumed(const UpstreamId& aUpstream)
{
  for (const auto& [id, tasks] : views_[aUpstream].Outstanding()) {
    auto intent = jobs_.at(id).intent;
    if (intent == JobIntent::Serve) {
      continue;
    }
    auto scope = intent == JobIntent::Withdraw ? protocol::CancelScope::Waiting
                                               : protocol::CancelScope::All;
    port_.SendToAgent(
      aUpstream,
      protocol::RunCancel{ id, { tasks.begin(), tasks.end() }, scope });
  }
}

void
JobDispatcher::OnAgentDown(const UpstreamId& aUpstream, MonotonicTime aNow)
{
  auto& view = views_[aUpstream];
  view.OnUnlinked();
  for (const auto& [id, tasks] : view.Outstanding()) {
    auto& job = jobs_.at(id);
    for (const auto& task : tasks) {
      auto& lost = job.tasks[task.index];
      if (lost.state == TaskState::Ordered) {
        lost.state = TaskState::Unknown;
        lost.lostAt = aNow;
        lost.unknownUntil = aNow + limits_.lostAgentTimeout;
      }
    }
  }
}

void
JobDispatcher::OnAgentHeard(const UpstreamId& aUpstream, MonotonicTime aNow)
{
  auto found = views_.find(aUpstream);
  if (found != views_.end()) {
    found->second.OnHeard(aNow);
  }
}

void
JobDispatcher::OnStatus(const protocol::UpstreamStatus& aStatus,
                        MonotonicTime aNow)
{
  views_[aStatus.upstream].OnStatus(aStatus, aNow);
  if (!waitingJobs_.empty() && aNow - lastRetryAt_ >= kRetryInterval) {
    RetryWaitingJobs(aNow);
  }
}

void
JobDispatcher::OnLostRuns(const UpstreamId& aUpstream,
                          const protocol::LostRuns& aLost,
                          MonotonicTime aNow)
{
  lostRunners_.Add(aUpstream, aLost, aNow);
  // The task may have been ordered by another entry.
  for (const auto& run : aLost.runs) {
    auto found = jobs_.find(run.job);
    if (found != jobs_.end()) {
      MarkStarted(found->second, aNow);
    }
  }
}

void
JobDispatcher::OnReport(const UpstreamId& aUpstream,
                        const protocol::RunReport& aReport,
                        MonotonicTime aNow)
{
  auto found = jobs_.find(aReport.job);
  if (found == jobs_.end()) {
    return;
  }
  for (const auto& end : aReport.ends) {
    OnEnd(found->second, aUpstream, end, aNow);
  }
  Advance(found->second, aNow);
}

void
JobDispatcher::OnEnd(Job& aJob,
                     const UpstreamId& aUpstream,
                     const protocol::RunEnd& aEnd,
                     MonotonicTime aNow)
{
  using protocol::RunOutcome;
  if (aEnd.task.index >= aJob.tasks.size()) {
    return;
  }
  auto& task = aJob.tasks[aEnd.task.index];
  bool isAwaited =
    (task.state == TaskState::Ordered || task.state == TaskState::Unknown) &&
    task.run == aEnd.task.run && task.upstream == aUpstream;
  if (!isAwaited) {
    return;
  }
  if (aEnd.outcome == RunOutcome::StillRunning) {
    MarkStarted(aJob, aNow);
    return;
  }
  auto since = aNow - task.placedAt;
  port_.OnEnded({ aJob.request.id,
                  aJob.request.route.name,
                  aEnd.task.index,
                  aEnd.task.run,
                  aUpstream,
                  aEnd.outcome,
                  Milliseconds(aEnd.elapsedMs),
                  std::chrono::duration_cast<Milliseconds>(since),
                  task.expected });
  ReleaseTask(aJob, task);
  if (aEnd.outcome == RunOutcome::Done) {
    drainRate_.OnEnded(aNow);
  }
  if (!NeverStarted(aEnd.outcome)) {
    MarkStarted(aJob, aNow);
  }
  switch (aEnd.outcome) {
    case RunOutcome::Done:
      task.state = TaskState::Done;
      ++aJob.doneTasks;
      return;
    case RunOutcome::Failed:
      ++task.failures;
      task.avoidedWorkers.insert(aUpstream);
      return;
    case RunOutcome::NoRoom:
      ++task.capacityMisses;
      return;
    case RunOutcome::Stuck:
    case RunOutcome::RefusedByWorker:
    case RunOutcome::Unconfirmed:
      task.avoidedWorkers.insert(aUpstream);
      return;
    case RunOutcome::OldRun: {
      // An earlier submission of this job used higher run numbers on that
      // worker.
      constexpr std::uint32_t kRunNumberStep = 16;
      task.run += kRunNumberStep;
      return;
    }
    default:
      return;
  }
}

void
JobDispatcher::MarkStarted(Job& aJob, MonotonicTime aNow)
{
  aJob.hasStarted = true;
  startedJobs_.Add(aJob.request.id, aNow);
}

void
JobDispatcher::ReleaseTask(Job& aJob, JobTask& aTask)
{
  auto index = static_cast<std::uint32_t>(&aTask - aJob.tasks.data());
  views_[aTask.upstream].Forget(aJob.request.id, { index, aTask.run });
  --aJob.tasksPerWorker[aTask.upstream];
  --aJob.outstanding;
  aTask.state = TaskState::Waiting;
}

void
JobDispatcher::Finish(Job& aJob, JobAnswer aAnswer, MonotonicTime aNow)
{
  aAnswer.orders = aJob.orders;
  if (aJob.waiter) {
    port_.Answer(*aJob.waiter, aJob.request, aAnswer);
  }
  bool isFinal = aAnswer.state == JobState::Completed ||
                 aAnswer.state == JobState::Failed ||
                 aAnswer.state == JobState::Cancelled;
  if (isFinal) {
    answered_[aJob.request.id] = { aAnswer, aNow + limits_.answerRetention };
  }
  Abandon(aJob);
}

void
JobDispatcher::Erase(const SubmissionId& aJob)
{
  waitingJobs_.erase(aJob);
  jobs_.erase(aJob);
}

void
JobDispatcher::ExpireUnknown(Job& aJob, MonotonicTime aNow)
{
  for (std::uint32_t i = 0; i < aJob.tasks.size(); ++i) {
    auto& task = aJob.tasks[i];
    if (task.state != TaskState::Unknown || aNow < task.unknownUntil) {
      continue;
    }
    auto sinceLoss = aNow - task.lostAt;
    port_.OnReleased({ aJob.request.id,
                       i,
                       task.run,
                       task.upstream,
                       std::chrono::duration_cast<Milliseconds>(sinceLoss) });
    ReleaseTask(aJob, task);
    MarkStarted(aJob, aNow);
  }
}

void
JobDispatcher::OnTick(MonotonicTime aNow)
{
  for (auto& item : jobs_) {
    ExpireUnknown(item.second, aNow);
  }
  RetryWaitingJobs(aNow);
  AnnounceCancelledJobs(aNow);
  lostRunners_.OnTick(aNow);
  cancelledJobs_.OnTick(aNow);
  std::erase_if(answered_, [aNow](const auto& aItem) {
    return aItem.second.expires <= aNow;
  });
}

void
JobDispatcher::OnWake(MonotonicTime aNow)
{
  isWakeScheduled_ = false;
  RetryWaitingJobs(aNow);
}

void
JobDispatcher::WaitForCapacity(Job& aJob)
{
  aJob.isWaitingForCapacity = true;
  waitingJobs_.insert(aJob.request.id);
  if (!isWakeScheduled_) {
    isWakeScheduled_ = true;
    port_.ScheduleWake();
  }
}

void
JobDispatcher::RetryWaitingJobs(MonotonicTime aNow)
{
  lastRetryAt_ = aNow;
  std::vector<std::tuple<std::uint32_t, MonotonicTime, SubmissionId>> due;
  for (const auto& [id, job] : jobs_) {
    bool isOver = aNow >= job.request.deadline - limits_.deadlineMargin;
    if (isOver || job.HasWaitingTasks()) {
      due.emplace_back(job.request.route.priority, job.request.arrival, id);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto& item : due) {
    auto found = jobs_.find(std::get<SubmissionId>(item));
    if (found != jobs_.end()) {
      Advance(found->second, aNow);
    }
  }
}

}
