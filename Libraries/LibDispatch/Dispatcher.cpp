#include "LibDispatch/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace vanillaworks::dispatch {

namespace {
constexpr Milliseconds kEntryLease{ 6000 };
constexpr Milliseconds kMaxReadGap{ 3000 };
/** Decisions kept per submission; those of a large job are similar. */
constexpr std::size_t kMaxDecisions = 256;
/** Ready tasks that one pass may skip before it stops. */
constexpr std::uint32_t kMaxSkippedTasks = 256;

/** 0 for a single task; each further rank covers jobs four times larger. */
std::uint32_t
RankOf(const SubmissionRequest& aRequest)
{
  constexpr std::size_t kSizeFactorPerRank = 4;
  std::uint32_t rank = 0;
  for (std::size_t size = 1; size < aRequest.tasks.size();
       size *= kSizeFactorPerRank) {
    ++rank;
  }
  return rank;
}

}

Dispatcher::Dispatcher(EntryIdentity aSelf,
                       DispatcherLimits aLimits,
                       std::unique_ptr<RoutingPolicy> aRouting,
                       const ConfigurationHolder& aConfiguration,
                       DispatcherPort& aPort)
  : self_(std::move(aSelf))
  , limits_(aLimits)
  , routing_(std::move(aRouting))
  , configuration_(aConfiguration)
  , port_(aPort)
  , retryBudget_(aLimits.retryShare, aLimits.retryBurst)
  , members_(kEntryLease, kMaxReadGap)
{
}

Dispatcher::~Dispatcher() = default;

SubmitResult
Dispatcher::Submit(SubmissionRequest aRequest,
                   WaiterId aWaiter,
                   WallTime aWallNow,
                   MonotonicTime aNow)
{
  if (aRequest.id.Value().empty()) {
    aRequest.id = SubmissionId(fmt::format("{}.{}.{}",
                                           self_.entry.Value(),
                                           self_.incarnation.Value(),
                                           nextRequest_++));
  }
  auto known = submissions_.find(aRequest.id);
  if (known != submissions_.end()) {
    auto& submission = known->second;
    if (submission.request.digest != aRequest.digest) {
      return SubmitResult::DigestMismatch;
    }
    RecordDecision(submission, DecisionKind::Joined, aNow);
    bool isAnswered =
      submission.phase == SubmissionPhase::Ended && !submission.isUnconfirmed;
    if (isAnswered) {
      port_.Deliver(aWaiter, submission.answer);
      return SubmitResult::Accepted;
    }
    submission.waiters.push_back(aWaiter);
    ++waiterCount_;
    return SubmitResult::Accepted;
  }
  if (stopping_) {
    return SubmitResult::Stopping;
  }
  if (unfinishedTasks_ + aRequest.tasks.size() > limits_.maxUnfinishedTasks) {
    return SubmitResult::Overloaded;
  }
  auto id = aRequest.id;
  auto& submission = submissions_[id];
  submission.request = std::move(aRequest);
  submission.submittedAt = aNow;
  submission.deadline =
    aNow + (submission.request.deadline - aWallNow) - limits_.deadlineMargin;
  submission.tasks.resize(submission.request.tasks.size());
  submission.unfinished =
    static_cast<std::uint32_t>(submission.request.tasks.size());
  submission.rank = RankOf(submission.request);
  submission.waiters.push_back(aWaiter);
  ++waiterCount_;
  unfinishedTasks_ += submission.unfinished;
  deadlines_.emplace(submission.deadline, id);
  RecordDecision(submission, DecisionKind::Accepted, aNow);
  if (!submission.IsClaimed()) {
    BeginRunning(submission, aNow);
    PlaceReady(aNow);
    return SubmitResult::Accepted;
  }
  ++unrecordedCount_;
  RecordDecision(submission, DecisionKind::ClaimAsked, aNow);
  port_.Claim(id, submission.request.digest, submission.request.deadline);
  return SubmitResult::Accepted;
}

void
Dispatcher::RemoveWaiter(const SubmissionId& aSubmission, WaiterId aWaiter)
{
  auto found = submissions_.find(aSubmission);
  if (found != submissions_.end()) {
    waiterCount_ -= std::erase(found->second.waiters, aWaiter);
  }
}

bool
Dispatcher::Cancel(const SubmissionId& aSubmission, MonotonicTime aNow)
{
  auto found = submissions_.find(aSubmission);
  if (found == submissions_.end()) {
    return false;
  }
  auto& submission = found->second;
  bool isOwnedHere = submission.phase == SubmissionPhase::Running;
  if (isOwnedHere) {
    EndEarly(submission, AnswerReason::Cancelled, aNow);
    PlaceReady(aNow);
  } else {
    // The owner of the claim is not known yet. If this entry gets the claim,
    // the submission ends at once.
    submission.cancelled = true;
  }
  return true;
}

const Submission*
Dispatcher::Find(const SubmissionId& aSubmission) const
{
  auto found = submissions_.find(aSubmission);
  return found == submissions_.end() ? nullptr : &found->second;
}

void
Dispatcher::BeginRunning(Submission& aSubmission, MonotonicTime aNow)
{
  aSubmission.phase = SubmissionPhase::Running;
  if (aSubmission.cancelled) {
    return EndEarly(aSubmission, AnswerReason::Cancelled, aNow);
  }
  if (aSubmission.deadline <= aNow) {
    return EndEarly(aSubmission, AnswerReason::DeadlinePassed, aNow);
  }
  for (std::uint32_t task = 0; task < aSubmission.tasks.size(); ++task) {
    if (aSubmission.tasks[task].phase == TaskPhase::Waiting) {
      retryBudget_.OnFirstAttempt();
      MakeReady(aSubmission, task);
    }
  }
}

void
Dispatcher::MakeReady(Submission& aSubmission, std::uint32_t aTask)
{
  ready_.Push({ { aSubmission.request.id, aTask },
                aSubmission.request.team,
                aSubmission.rank,
                aSubmission.deadline });
}

TaskRequirements
Dispatcher::RequirementsOf(const Submission& aSubmission,
                           std::uint32_t aTask) const
{
  const auto& task = aSubmission.request.tasks[aTask];
  return { task.kind,
           task.demand,
           aSubmission.rank,
           aSubmission.IsClaimed(),
           aSubmission.deadline };
}

void
Dispatcher::PlaceReady(MonotonicTime aNow)
{
  if (fenced_) {
    return;
  }
  PlacementPass pass{ aNow, configuration_.Current(), {}, {}, 0 };
  ready_.VisitInOrder(
    [this, &pass](const ReadyTask& aTask) { return Place(aTask, pass); });
}

VisitResult
Dispatcher::Place(const ReadyTask& aTask, PlacementPass& aPass)
{
  const auto& configuration = aPass.configuration;
  auto quota = configuration->teams.find(aTask.team);
  if (quota != configuration->teams.end() &&
      quota->second.maxTasksInFlight != 0 &&
      ready_.InFlight(aTask.team) >= quota->second.maxTasksInFlight) {
    return VisitResult::SkipTeam;
  }
  auto& submission = submissions_.at(aTask.key.submission);
  auto requirements = RequirementsOf(submission, aTask.key.index);
  bool isBlocked =
    std::any_of(aPass.blocked.begin(),
                aPass.blocked.end(),
                [&requirements](const auto& aRequirements) {
                  return aRequirements.HasSameRequirements(requirements);
                });
  if (isBlocked) {
    return ++aPass.skipped > kMaxSkippedTasks ? VisitResult::Stop
                                              : VisitResult::Skip;
  }
  auto choice = routing_->Choose(
    requirements, directory_, *configuration, aPass.waiting, aPass.now);
  if (const auto* wait = std::get_if<WaitFor>(&choice)) {
    ++aPass.waiting[wait->upstream];
    return ++aPass.skipped > kMaxSkippedTasks ? VisitResult::Stop
                                              : VisitResult::Skip;
  }
  const auto* send = std::get_if<SendNow>(&choice);
  if (!send) {
    aPass.blocked.push_back(requirements);
    return ++aPass.skipped > kMaxSkippedTasks ? VisitResult::Stop
                                              : VisitResult::Skip;
  }
  Send(submission, aTask.key.index, send->upstream, aPass.now);
  return VisitResult::Remove;
}

void
Dispatcher::Send(Submission& aSubmission,
                 std::uint32_t aTask,
                 const UpstreamId& aUpstream,
                 MonotonicTime aNow)
{
  const auto& request = aSubmission.request.tasks[aTask];
  auto& progress = aSubmission.tasks[aTask];
  progress.phase = TaskPhase::Sent;
  progress.upstream = aUpstream;
  protocol::TaskKey key{ aSubmission.request.id, aTask };
  directory_.Find(aUpstream)->outstanding.emplace(key,
                                                  aSubmission.request.team);
  RecordDecision(aSubmission, DecisionKind::TaskSent, aNow, aTask, aUpstream);
  auto remaining =
    std::chrono::duration_cast<Microseconds>(aSubmission.deadline - aNow);
  port_.SendToAgent(aUpstream,
                    protocol::Start{ std::move(key),
                                     request.kind,
                                     request.payload,
                                     remaining.count(),
                                     aSubmission.rank,
                                     aSubmission.IsClaimed(),
                                     request.demand });
}

Submission*
Dispatcher::FindRunning(const protocol::TaskKey& aKey)
{
  auto found = submissions_.find(aKey.submission);
  bool isRunning = found != submissions_.end() &&
                   found->second.phase == SubmissionPhase::Running &&
                   aKey.index < found->second.tasks.size();
  return isRunning ? &found->second : nullptr;
}

void
Dispatcher::RecordDecision(Submission& aSubmission,
                           DecisionKind aKind,
                           MonotonicTime aNow,
                           std::uint32_t aTask,
                           const UpstreamId& aUpstream,
                           std::string_view aReason)
{
  bool isAboutSubmission =
    aKind == DecisionKind::Ended || aKind == DecisionKind::Recorded;
  if (aSubmission.decisions.size() < kMaxDecisions || isAboutSubmission) {
    aSubmission.decisions.push_back({ aNow, aKind, aTask, aUpstream, aReason });
  }
}

bool
Dispatcher::IsDrained() const
{
  return waiterCount_ == 0 && unrecordedCount_ == 0;
}

}
