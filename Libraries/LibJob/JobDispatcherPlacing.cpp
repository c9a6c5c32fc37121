#include "LibJob/JobDispatcher.h"

#include <algorithm>

namespace vanillaworks::job {

void
JobDispatcher::Advance(Job& aJob, MonotonicTime aNow)
{
  waitingJobs_.erase(aJob.request.id);
  if (aJob.intent == JobIntent::Abandon) {
    if (aJob.outstanding == 0) {
      Erase(SubmissionId(aJob.request.id));
    }
    return;
  }
  if (aJob.doneTasks == aJob.tasks.size()) {
    Finish(aJob, { JobState::Completed, JobReason::None, {} }, aNow);
    return;
  }
  auto failure = FinalFailure(aJob);
  if (failure != JobReason::None) {
    Finish(aJob, { JobState::Failed, failure, {} }, aNow);
    return;
  }
  if (aNow >= aJob.request.deadline - limits_.deadlineMargin) {
    auto state = aJob.hasStarted || aJob.outstanding != 0 ? JobState::GivenUp
                                                          : JobState::Rejected;
    Finish(aJob, { state, JobReason::Deadline, {} }, aNow);
    return;
  }
  if (aJob.intent == JobIntent::Withdraw) {
    if (aJob.outstanding == 0 && !aJob.hasStarted &&
        !IsWithinWaitLimit(aJob, aNow)) {
      Finish(
        aJob,
        { JobState::Rejected, JobReason::TooLate, placement_.RetryAfter() },
        aNow);
      return;
    }
    if (aJob.outstanding != 0 && !aJob.hasStarted) {
      return;
    }
    aJob.intent = JobIntent::Serve;
    aJob.isLate = aJob.hasStarted;
  }
  if (aJob.HasWaitingTasks() && !HasCaller(aJob, aNow)) {
    Abandon(aJob);
    return;
  }
  if (!PlaceWaiting(aJob, aNow)) {
    OnPlacementFailed(aJob, aNow);
  }
}

JobReason
JobDispatcher::FinalFailure(const Job& aJob) const
{
  for (std::uint32_t i = 0; i < aJob.tasks.size(); ++i) {
    if (aJob.tasks[i].failures >= aJob.request.route.maxAttempts) {
      return JobReason::AttemptsSpent;
    }
    if (lostRunners_.IsGivenUp(aJob.request.id, i)) {
      return JobReason::RunnersLost;
    }
  }
  return JobReason::None;
}

namespace {
/** Queues tasks of late jobs behind all tasks that can still end in time. */
constexpr std::uint32_t kLatePriority = 1000;
/**
 * Number of orders that are returned at once for lack of capacity before a task
 * may queue at a worker.
 */
constexpr std::uint32_t kCapacityMissesBeforeQueueing = 3;
/**
 * A job waits for capacity for at most this fraction (1/5) of the time to its
 * goal.
 */
constexpr int kWaitDivisor = 5;
}

bool
JobDispatcher::PlaceWaiting(Job& aJob, MonotonicTime aNow)
{
  std::map<UpstreamId, std::vector<std::uint32_t>> plan;
  std::map<UpstreamId, Milliseconds> startWithin;
  std::vector<TaskPlaced> placed;
  bool isFullyPlaced = true;
  // A job that has started, or of which a task may start, is not held up: what
  // ran already would be wasted.
  auto maxStartDelay = aJob.hasStarted || aJob.outstanding != 0
                         ? std::nullopt
                         : admission_->MaxStartDelay(aJob.request, aNow);
  for (std::uint32_t i = 0; i < aJob.tasks.size(); ++i) {
    auto& task = aJob.tasks[i];
    bool isDue = task.state == TaskState::Waiting &&
                 !lostRunners_.IsHeld(aJob.request.id, i);
    if (!isDue) {
      continue;
    }
    auto urgency = aJob.isLate ? Urgency::BeforeDeadline : Urgency::InTime;
    auto place = placement_.Choose({ aJob.request,
                                     urgency,
                                     maxStartDelay,
                                     task.avoidedWorkers,
                                     aJob.tasksPerWorker },
                                   views_,
                                   control_,
                                   aNow);
    if (!place) {
      isFullyPlaced = false;
      break;
    }
    task.state = TaskState::Ordered;
    task.upstream = place->upstream;
    task.placedAt = aNow;
    task.expected = place->endIn;
    ++task.run;
    ++aJob.outstanding;
    ++aJob.tasksPerWorker[place->upstream];
    plan[place->upstream].push_back(i);
    // If a worker was expected to have free resources but has none, the task is
    // returned at once, because it can start earlier on another worker.
    bool mayQueue = place->startIn.count() > 0 ||
                    task.capacityMisses >= kCapacityMissesBeforeQueueing;
    auto allowed = mayQueue ? place->startWithin : Milliseconds{ 0 };
    auto& within = startWithin.emplace(place->upstream, allowed).first->second;
    within = std::max(within, allowed);
    // The next task must see the resources of this one as taken.
    views_[place->upstream].OnOrdered(aJob.request.demand,
                                      aJob.request.estimate);
    placed.push_back({ aJob.request.id,
                       i,
                       task.run,
                       place->upstream,
                       place->candidates,
                       place->startIn,
                       place->endIn });
  }
  bool isStillRejectable = !isFullyPlaced && !aJob.hasStarted && !aJob.isLate;
  if (isStillRejectable) {
    // Nothing of this plan was sent, so all its effects are reverted.
    aJob.unplacedTasks = aJob.tasks.size() - aJob.outstanding;
    for (const auto& [upstream, tasks] : plan) {
      for (auto index : tasks) {
        ReleaseTask(aJob, aJob.tasks[index]);
        --aJob.tasks[index].run;
      }
      views_[upstream].RevertOrders(tasks.size());
    }
    return false;
  }
  for (const auto& event : placed) {
    port_.OnPlaced(event);
  }
  if (!placed.empty() && aJob.orders == 0) {
    admission_->OnAdmitted(aJob.request, aNow);
  }
  SendOrders(aJob, plan, startWithin);
  return isFullyPlaced;
}

void
JobDispatcher::SendOrders(
  Job& aJob,
  const std::map<UpstreamId, std::vector<std::uint32_t>>& aPlan,
  const std::map<UpstreamId, Milliseconds>& aStartWithin)
{
  const auto& request = aJob.request;
  for (const auto& [upstream, indices] : aPlan) {
    auto& view = views_[upstream];
    protocol::RunOrder order;
    order.job = request.id;
    order.spec = request.spec;
    order.cpu = request.demand.cpu;
    order.memory = request.demand.memory;
    order.accelerators = request.demand.accelerators;
    order.priority = request.route.priority + (aJob.isLate ? kLatePriority : 0);
    order.estimateMs = request.estimate.count();
    order.startWithinMs = aStartWithin.at(upstream).count();
    for (auto index : indices) {
      protocol::RunTask task{ index, aJob.tasks[index].run };
      view.Outstanding()[request.id].insert(task);
      order.tasks.push_back(task);
      ++aJob.orders;
      if (lostRunners_.IsSuspect(request.id, index)) {
        order.suspects.push_back(index);
      }
    }
    order.sequence = view.LastSequence();
    port_.SendToAgent(upstream, std::move(order));
  }
}

bool
JobDispatcher::IsWithinWaitLimit(const Job& aJob, MonotonicTime aNow)
{
  const auto& request = aJob.request;
  auto maxWait = (request.Goal() - request.arrival) / kWaitDivisor;
  return aNow - request.arrival < maxWait;
}

bool
JobDispatcher::MayWait(const Job& aJob, MonotonicTime aNow) const
{
  if (!placement_.CouldFinishInTime()) {
    return false;
  }
  bool isWarmingUp =
    aNow < warmUpUntil_ && placement_.Reason() == PlacementFailure::NoWorker;
  if (isWarmingUp) {
    return true;
  }
  return IsWithinWaitLimit(aJob, aNow) &&
         (aJob.isWaitingForCapacity || ExpectsCapacityInTime(aJob, aNow));
}

bool
JobDispatcher::ExpectsCapacityInTime(const Job& aJob, MonotonicTime aNow) const
{
  auto tasks = aJob.unplacedTasks;
  for (const auto& id : waitingJobs_) {
    const auto& other = jobs_.at(id);
    if (other.request.route.priority <= aJob.request.route.priority) {
      tasks += other.unplacedTasks;
    }
  }
  auto wait = drainRate_.EstimateWait(tasks, aNow);
  auto maxWait = (aJob.request.Goal() - aJob.request.arrival) / kWaitDivisor;
  return !wait || *wait <= maxWait;
}

void
JobDispatcher::OnPlacementFailed(Job& aJob, MonotonicTime aNow)
{
  if (aJob.hasStarted) {
    // A job that has partly run can't be rejected any more, but may still end
    // late.
    bool isUnattainable = aJob.isLate && aJob.outstanding == 0 &&
                          placement_.Reason() == PlacementFailure::TooLate &&
                          aNow > aJob.request.Goal();
    aJob.isLate = true;
    if (isUnattainable) {
      Finish(aJob, { JobState::GivenUp, JobReason::TooLate, {} }, aNow);
    }
    return;
  }
  if (aJob.outstanding == 0 && MayWait(aJob, aNow)) {
    WaitForCapacity(aJob);
    return;
  }
  if (aJob.outstanding == 0) {
    auto reason = placement_.Reason() == PlacementFailure::TooLate
                    ? JobReason::TooLate
                    : JobReason::NoWorker;
    Finish(aJob, { JobState::Rejected, reason, placement_.RetryAfter() }, aNow);
    return;
  }
  aJob.intent = JobIntent::Withdraw;
  CancelOutstanding(aJob, protocol::CancelScope::Waiting);
}

}
