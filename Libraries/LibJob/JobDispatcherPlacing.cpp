#include "LibJob/JobDispatcher.h"

#include <algorithm>

namespace vanillaworks::job {

void
JobDispatcher::Advance(Job& aJob, MonotonicTime aNow)
{
  waiting_.erase(aJob.request.id);
  if (aJob.intent == Intent::Abandon) {
    if (aJob.out == 0) {
      Erase(SubmissionId(aJob.request.id));
    }
    return;
  }
  if (aJob.done == aJob.tasks.size()) {
    Conclude(aJob, { JobState::Completed, JobReason::None, {} }, aNow);
    return;
  }
  bool isSpent =
    std::any_of(aJob.tasks.begin(), aJob.tasks.end(), [&](const auto& aTask) {
      return aTask.failures >= aJob.request.route.maxAttempts;
    });
  if (isSpent) {
    Conclude(aJob, { JobState::Failed, JobReason::AttemptsSpent, {} }, aNow);
    return;
  }
  if (aNow >= aJob.request.deadline - limits_.deadlineMargin) {
    auto state =
      aJob.started || aJob.out != 0 ? JobState::GivenUp : JobState::Rejected;
    Conclude(aJob, { state, JobReason::Deadline, {} }, aNow);
    return;
  }
  if (aJob.intent == Intent::Withdraw) {
    if (aJob.out == 0 && !aJob.started && !IsEarly(aJob, aNow)) {
      Conclude(
        aJob,
        { JobState::Rejected, JobReason::TooLate, placement_.RetryAfter() },
        aNow);
      return;
    }
    if (aJob.out != 0 && !aJob.started) {
      return;
    }
    aJob.intent = Intent::Serve;
    aJob.late = aJob.started;
  }
  if (!PlaceWaiting(aJob, aNow)) {
    OnNoPlace(aJob, aNow);
  }
}

namespace {
/** What ends late anyway waits behind all that can still end in time. */
constexpr std::uint32_t kLatePriority = 1000;
/** So often a task is given back at once where its room is taken. */
constexpr std::uint32_t kMissesBeforeQueueing = 3;
/** A job waits for room for this part of the time to its goal. */
constexpr int kWaitShare = 5;
}

bool
JobDispatcher::PlaceWaiting(Job& aJob, MonotonicTime aNow)
{
  std::map<UpstreamId, std::vector<std::uint32_t>> plan;
  std::map<UpstreamId, Milliseconds> startWithin;
  std::vector<TaskPlaced> placed;
  bool isWhole = true;
  for (std::uint32_t i = 0; i < aJob.tasks.size(); ++i) {
    auto& task = aJob.tasks[i];
    if (task.state != TaskState::Waiting) {
      continue;
    }
    auto urgency = aJob.late ? Urgency::BeforeDeadline : Urgency::InTime;
    auto place =
      placement_.Choose({ aJob.request, urgency, task.avoided, aJob.perWorker },
                        views_,
                        control_,
                        aNow);
    if (!place) {
      isWhole = false;
      break;
    }
    task.state = TaskState::Ordered;
    task.upstream = place->upstream;
    task.placedAt = aNow;
    task.expected = place->endIn;
    ++task.run;
    ++aJob.out;
    ++aJob.perWorker[place->upstream];
    plan[place->upstream].push_back(i);
    // Where there should be room and is none, another worker is the better
    // place to wait.
    bool mayQueue =
      place->startIn.count() > 0 || task.misses >= kMissesBeforeQueueing;
    auto allowed = mayQueue ? place->startWithin : Milliseconds{ 0 };
    auto& within = startWithin.emplace(place->upstream, allowed).first->second;
    within = std::max(within, allowed);
    // The next task must see this one's room as taken.
    views_[place->upstream].OnOrdered(aJob.request.room, aJob.request.estimate);
    placed.push_back({ aJob.request.id,
                       i,
                       task.run,
                       place->upstream,
                       place->candidates,
                       place->startIn,
                       place->endIn });
  }
  bool isRejectable = !isWhole && !aJob.started && !aJob.late;
  if (isRejectable) {
    // Nothing of this plan was sent: it is as if it had never been.
    aJob.missing = aJob.tasks.size() - aJob.out;
    for (const auto& [upstream, tasks] : plan) {
      for (auto index : tasks) {
        Release(aJob, aJob.tasks[index]);
        --aJob.tasks[index].run;
      }
      views_[upstream].TakeBack(tasks.size());
    }
    return false;
  }
  for (const auto& event : placed) {
    port_.OnPlaced(event);
  }
  SendOrders(aJob, plan, startWithin);
  return isWhole;
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
    order.cpu = request.room.cpu;
    order.memory = request.room.memory;
    order.accelerators = request.room.accelerators;
    order.priority = request.route.priority + (aJob.late ? kLatePriority : 0);
    order.estimateMs = request.estimate.count();
    order.startWithinMs = aStartWithin.at(upstream).count();
    for (auto index : indices) {
      protocol::RunTask task{ index, aJob.tasks[index].run };
      view.Outstanding()[request.id].insert(task);
      order.tasks.push_back(task);
    }
    order.sequence = view.LastSequence();
    port_.SendToAgent(upstream, std::move(order));
  }
}

bool
JobDispatcher::IsEarly(const Job& aJob, MonotonicTime aNow)
{
  const auto& request = aJob.request;
  auto patience = (request.Goal() - request.arrival) / kWaitShare;
  return aNow - request.arrival < patience;
}

bool
JobDispatcher::MayWait(const Job& aJob, MonotonicTime aNow) const
{
  if (!placement_.IsHopeful()) {
    return false;
  }
  bool isWarmingUp =
    aNow < warmUntil_ && placement_.Reason() == NoPlace::NoWorker;
  if (isWarmingUp) {
    return true;
  }
  return IsEarly(aJob, aNow) &&
         (aJob.waitsForRoom || HasRoomInTime(aJob, aNow));
}

bool
JobDispatcher::HasRoomInTime(const Job& aJob, MonotonicTime aNow) const
{
  auto tasks = aJob.missing;
  for (const auto& id : waiting_) {
    const auto& other = jobs_.at(id);
    if (other.request.route.priority <= aJob.request.route.priority) {
      tasks += other.missing;
    }
  }
  auto wait = drainRate_.TimeFor(tasks, aNow);
  auto patience = (aJob.request.Goal() - aJob.request.arrival) / kWaitShare;
  return !wait || *wait <= patience;
}

void
JobDispatcher::OnNoPlace(Job& aJob, MonotonicTime aNow)
{
  if (aJob.started) {
    // What has run in part can't be rejected; it may still end late.
    bool isHopeless = aJob.late && aJob.out == 0 &&
                      placement_.Reason() == NoPlace::TooLate &&
                      aNow > aJob.request.Goal();
    aJob.late = true;
    if (isHopeless) {
      Conclude(aJob, { JobState::GivenUp, JobReason::TooLate, {} }, aNow);
    }
    return;
  }
  if (aJob.out == 0 && MayWait(aJob, aNow)) {
    LetWait(aJob);
    return;
  }
  if (aJob.out == 0) {
    auto reason = placement_.Reason() == NoPlace::TooLate ? JobReason::TooLate
                                                          : JobReason::NoWorker;
    Conclude(
      aJob, { JobState::Rejected, reason, placement_.RetryAfter() }, aNow);
    return;
  }
  aJob.intent = Intent::Withdraw;
  CancelAll(aJob, protocol::CancelScope::Waiting);
}

}
