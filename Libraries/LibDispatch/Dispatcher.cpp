#include "LibDispatch/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>

namespace vanillaworks::dispatch {

using protocol::RefusalReason;
using protocol::ResultCode;

namespace {
constexpr Milliseconds kEntryLease{ 6000 };
constexpr Milliseconds kMaxReadGap{ 3000 };
/** Decisions kept of one submission; the rest of a large job is alike. */
constexpr std::size_t kMaxDecisions = 256;
/** Ready tasks looked at in a row that can't be placed. */
constexpr std::uint32_t kMaxSkips = 256;

/** Single requests first, then jobs, each four times larger a rank later. */
std::uint32_t
RankOf(const SubmissionRequest& aRequest)
{
  constexpr std::size_t kGrowth = 4;
  std::uint32_t rank = 0;
  for (std::size_t size = 1; size < aRequest.tasks.size(); size *= kGrowth) {
    ++rank;
  }
  return rank;
}

/** Whether the same agent may take the task a little later. */
bool
WillPass(RefusalReason aReason)
{
  return aReason == RefusalReason::ConfigurationStale ||
         aReason == RefusalReason::QueueFull ||
         aReason == RefusalReason::SetAside ||
         aReason == RefusalReason::NotRegistered;
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
  , retries_(aLimits.retryShare, aLimits.retryBurst)
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
    Note(submission, DecisionKind::Joined, aNow);
    bool isAnswered =
      submission.phase == SubmissionPhase::Ended && !submission.unconfirmed;
    if (isAnswered) {
      port_.Deliver(aWaiter, submission.answer);
      return SubmitResult::Accepted;
    }
    submission.waiters.push_back(aWaiter);
    ++waiting_;
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
  ++waiting_;
  unfinishedTasks_ += submission.unfinished;
  deadlines_.emplace(submission.deadline, id);
  Note(submission, DecisionKind::Accepted, aNow);
  if (!submission.IsClaimed()) {
    Begin(submission, aNow);
    PlaceReady(aNow);
    return SubmitResult::Accepted;
  }
  ++unrecorded_;
  Note(submission, DecisionKind::ClaimAsked, aNow);
  port_.Claim(id, submission.request.digest, submission.request.deadline);
  return SubmitResult::Accepted;
}

void
Dispatcher::ForgetWaiter(const SubmissionId& aSubmission, WaiterId aWaiter)
{
  auto found = submissions_.find(aSubmission);
  if (found != submissions_.end()) {
    waiting_ -= std::erase(found->second.waiters, aWaiter);
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
  bool isOurs = submission.phase == SubmissionPhase::Running;
  if (isOurs) {
    EndEarly(submission, AnswerReason::Cancelled, aNow);
    PlaceReady(aNow);
  } else {
    // Whether it is ours is not known yet; it ends as soon as it is.
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
Dispatcher::Begin(Submission& aSubmission, MonotonicTime aNow)
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
      retries_.OnFreshWork();
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

TaskNeeds
Dispatcher::NeedsOf(const Submission& aSubmission, std::uint32_t aTask) const
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

Visit
Dispatcher::Place(const ReadyTask& aTask, PlacementPass& aPass)
{
  const auto& configuration = aPass.configuration;
  auto quota = configuration->teams.find(aTask.team);
  if (quota != configuration->teams.end() &&
      quota->second.maxTasksInFlight != 0 &&
      ready_.InFlight(aTask.team) >= quota->second.maxTasksInFlight) {
    return Visit::SkipTeam;
  }
  auto& submission = submissions_.at(aTask.key.submission);
  auto needs = NeedsOf(submission, aTask.key.index);
  bool isBlocked =
    std::any_of(aPass.blocked.begin(),
                aPass.blocked.end(),
                [&needs](const auto& aNeeds) { return aNeeds.IsLike(needs); });
  if (isBlocked) {
    return ++aPass.skips > kMaxSkips ? Visit::Stop : Visit::Skip;
  }
  auto choice = routing_->Choose(
    needs, directory_, *configuration, aPass.waiting, aPass.now);
  if (const auto* wait = std::get_if<WaitFor>(&choice)) {
    ++aPass.waiting[wait->upstream];
    return ++aPass.skips > kMaxSkips ? Visit::Stop : Visit::Skip;
  }
  const auto* send = std::get_if<SendNow>(&choice);
  if (!send) {
    aPass.blocked.push_back(needs);
    return ++aPass.skips > kMaxSkips ? Visit::Stop : Visit::Skip;
  }
  Send(submission, aTask.key.index, send->upstream, aPass.now);
  return Visit::Take;
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
  Note(aSubmission, DecisionKind::TaskSent, aNow, aTask, aUpstream);
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

std::vector<protocol::TaskKey>
Dispatcher::OnAgentHello(const protocol::AgentHello& aHello, MonotonicTime aNow)
{
  auto& record = directory_.FindOrAdd(aHello.upstream);
  bool isNewLife = record.hello.incarnation != aHello.incarnation;
  if (isNewLife) {
    LoseTasks(record, aNow);
    record.speeds.clear();
    record.setAside = false;
    record.registered = false;
    record.reportedOccupancy = 0;
    record.ownAtReport = 0;
  }
  record.hello = aHello;
  record.linkUp = true;
  record.downSince.reset();
  record.stopping = aHello.stopping;
  record.registered = aHello.registered;
  std::vector<protocol::TaskKey> outstanding;
  outstanding.reserve(record.outstanding.size());
  for (const auto& [key, team] : record.outstanding) {
    outstanding.push_back(key);
  }
  return outstanding;
}

void
Dispatcher::OnAgentReady(const UpstreamId& aUpstream, MonotonicTime aNow)
{
  for (const auto& round : rounds_) {
    if (round.waiting.contains(aUpstream)) {
      port_.SendToAgent(aUpstream, round.fence);
    }
  }
  PlaceReady(aNow);
}

void
Dispatcher::OnAgentDown(const UpstreamId& aUpstream, MonotonicTime aNow)
{
  auto* record = directory_.Find(aUpstream);
  if (!record || !record->linkUp) {
    return;
  }
  record->linkUp = false;
  record->downSince = aNow;
  // A repeatable request need not wait for news of its first try.
  std::vector<protocol::TaskKey> repeatable;
  for (const auto& [key, team] : record->outstanding) {
    const auto* submission = FindRunning(key);
    if (submission && !submission->IsClaimed()) {
      repeatable.push_back(key);
    }
  }
  for (const auto& key : repeatable) {
    TakeOutstanding(*record, key);
    LoseTask(key, aNow);
  }
  PlaceReady(aNow);
}

void
Dispatcher::OnAgentRegistered(const UpstreamId& aUpstream,
                              Incarnation aIncarnation,
                              MonotonicTime aNow)
{
  auto* record = directory_.Find(aUpstream);
  if (record && record->hello.incarnation == aIncarnation) {
    record->registered = true;
    PlaceReady(aNow);
  }
}

void
Dispatcher::OnAgentFrame(const UpstreamId& aUpstream,
                         const protocol::Frame& aFrame,
                         MonotonicTime aNow)
{
  auto* record = directory_.Find(aUpstream);
  if (!record) {
    return;
  }
  const auto& message = aFrame.message;
  record->reportedOccupancy = aFrame.header.occupancy;
  record->setAside = aFrame.header.setAside;
  if (const auto* result = std::get_if<protocol::TaskResult>(&message)) {
    OnResult(aUpstream, *result, aNow);
  } else if (const auto* reconcile =
               std::get_if<protocol::Reconcile>(&message)) {
    OnReconcile(aUpstream, *reconcile, aNow);
  } else if (const auto* report =
               std::get_if<protocol::FenceReport>(&message)) {
    OnFenceReport(aUpstream, *report, aNow);
  } else if (std::holds_alternative<protocol::Goodbye>(message)) {
    record->stopping = true;
  }
  // What we sent lately has not reached the agent yet, so this is an upper
  // bound of our part in its report, and others' part is never overrated.
  record->ownAtReport = static_cast<std::uint32_t>(record->outstanding.size());
  PlaceReady(aNow);
}

void
Dispatcher::OnResult(const UpstreamId& aUpstream,
                     const protocol::TaskResult& aResult,
                     MonotonicTime aNow)
{
  auto& record = *directory_.Find(aUpstream);
  bool wasOurs = TakeOutstanding(record, aResult.key);
  auto* submission = FindRunning(aResult.key);
  auto* progress = submission ? &submission->tasks[aResult.key.index] : nullptr;
  bool isAwaited = wasOurs && progress && progress->phase == TaskPhase::Sent &&
                   progress->upstream == aUpstream;
  if (!isAwaited) {
    return OnUnawaitedResult(aUpstream, aResult);
  }
  if (aResult.code == ResultCode::NotStarted) {
    return OnNotStarted(*submission, record, aResult, aNow);
  }
  if (submission->IsClaimed() && aResult.number != 0) {
    submission->unacknowledged.emplace_back(aUpstream, aResult.number);
  } else if (aResult.number != 0) {
    port_.Acknowledge(aUpstream, aResult.number);
  }
  auto task = aResult.key.index;
  submission->hasRun = true;
  if (aResult.code == ResultCode::Completed) {
    directory_.OnService(record,
                         submission->request.tasks[task].kind,
                         Microseconds(aResult.service));
    return OnCompleted(*submission, task, aResult, aNow);
  }
  OnFailed(*submission, task, aResult, aNow);
}

void
Dispatcher::OnUnawaitedResult(const UpstreamId& aUpstream,
                              const protocol::TaskResult& aResult)
{
  auto known = submissions_.find(aResult.key.submission);
  bool isKnown = known != submissions_.end();
  if (isKnown && known->second.phase == SubmissionPhase::TakingOver) {
    // It ended after its agent reported it as running.
    for (auto& round : rounds_) {
      auto found = round.found.find(aResult.key);
      if (found != round.found.end()) {
        found->second = { aUpstream, FoundTask::Fate::Ended, aResult };
      }
    }
    return;
  }
  if (aResult.number == 0) {
    return;
  }
  bool isOpen = isKnown && known->second.IsClaimed() && !known->second.recorded;
  if (isOpen) {
    // Whoever takes the submission over before it is recorded needs it.
    known->second.unacknowledged.emplace_back(aUpstream, aResult.number);
    return;
  }
  port_.Acknowledge(aUpstream, aResult.number);
}

void
Dispatcher::OnNotStarted(Submission& aSubmission,
                         UpstreamRecord& aRecord,
                         const protocol::TaskResult& aResult,
                         MonotonicTime aNow)
{
  auto task = aResult.key.index;
  Note(aSubmission,
       DecisionKind::TaskRefused,
       aNow,
       task,
       aRecord.hello.upstream,
       protocol::RefusalReasonName(aResult.reason));
  if (aResult.reason == RefusalReason::Fenced) {
    fenced_ = true;
  }
  if (aResult.reason == RefusalReason::UpstreamLeaving) {
    aRecord.stopping = true;
  }
  if (aResult.reason == RefusalReason::NotRegistered) {
    aRecord.registered = false;
  }
  if (WillPass(aResult.reason) ||
      aResult.reason == RefusalReason::DomainClosed) {
    aRecord.avoidUntil = aNow + limits_.refusalPause;
  }
  ReturnToQueue(aSubmission, task, RetryReason::GateRefused, aNow);
}

void
Dispatcher::OnCompleted(Submission& aSubmission,
                        std::uint32_t aTask,
                        const protocol::TaskResult& aResult,
                        MonotonicTime aNow)
{
  auto& progress = aSubmission.tasks[aTask];
  progress.phase = TaskPhase::Completed;
  progress.payload = aResult.payload;
  --aSubmission.unfinished;
  --unfinishedTasks_;
  Note(aSubmission, DecisionKind::TaskEnded, aNow, aTask, progress.upstream);
  if (aSubmission.unfinished == 0) {
    End(aSubmission, AnswerState::Complete, AnswerReason::None, aNow);
  }
}

void
Dispatcher::OnFailed(Submission& aSubmission,
                     std::uint32_t aTask,
                     const protocol::TaskResult& aResult,
                     MonotonicTime aNow)
{
  Note(aSubmission,
       DecisionKind::TaskEnded,
       aNow,
       aTask,
       aSubmission.tasks[aTask].upstream,
       "failed");
  if (aResult.reason == RefusalReason::Duplicate) {
    // It started there for somebody and its result is gone.
    return End(
      aSubmission, AnswerState::MayHaveRun, AnswerReason::ResultLost, aNow);
  }
  if (!aSubmission.IsClaimed()) {
    return RetryRepeatable(aSubmission,
                           aTask,
                           RetryReason::UpstreamFailed,
                           AnswerReason::TaskFailed,
                           aNow);
  }
  End(aSubmission, AnswerState::Failed, AnswerReason::TaskFailed, aNow);
}

void
Dispatcher::ReturnToQueue(Submission& aSubmission,
                          std::uint32_t aTask,
                          RetryReason aReason,
                          MonotonicTime aNow)
{
  auto& progress = aSubmission.tasks[aTask];
  Note(aSubmission,
       DecisionKind::TaskRetried,
       aNow,
       aTask,
       progress.upstream,
       RetryReasonName(aReason));
  port_.CountRetry(aReason);
  progress = {};
  MakeReady(aSubmission, aTask);
}

void
Dispatcher::RetryRepeatable(Submission& aSubmission,
                            std::uint32_t aTask,
                            RetryReason aReason,
                            AnswerReason aElse,
                            MonotonicTime aNow)
{
  if (retries_.Take() == RetryDecision::BudgetSpent) {
    return End(aSubmission, AnswerState::Failed, aElse, aNow);
  }
  ReturnToQueue(aSubmission, aTask, aReason, aNow);
}

void
Dispatcher::OnReconcile(const UpstreamId& aUpstream,
                        const protocol::Reconcile& aReconcile,
                        MonotonicTime aNow)
{
  auto& record = *directory_.Find(aUpstream);
  for (const auto& key : aReconcile.neverReceived) {
    if (!TakeOutstanding(record, key)) {
      continue;
    }
    auto* submission = FindRunning(key);
    if (submission && submission->tasks[key.index].phase == TaskPhase::Sent &&
        submission->tasks[key.index].upstream == aUpstream) {
      ReturnToQueue(*submission, key.index, RetryReason::NeverReceived, aNow);
    }
  }
}

bool
Dispatcher::TakeOutstanding(UpstreamRecord& aRecord,
                            const protocol::TaskKey& aKey)
{
  auto found = aRecord.outstanding.find(aKey);
  if (found == aRecord.outstanding.end()) {
    return false;
  }
  ready_.OnEnded(found->second);
  aRecord.outstanding.erase(found);
  return true;
}

void
Dispatcher::LoseTasks(UpstreamRecord& aRecord, MonotonicTime aNow)
{
  auto lost = std::move(aRecord.outstanding);
  aRecord.outstanding.clear();
  for (const auto& [key, team] : lost) {
    ready_.OnEnded(team);
    LoseTask(key, aNow);
  }
}

void
Dispatcher::LoseTask(const protocol::TaskKey& aKey, MonotonicTime aNow)
{
  auto* submission = FindRunning(aKey);
  if (!submission || submission->tasks[aKey.index].phase != TaskPhase::Sent) {
    return;
  }
  if (!submission->IsClaimed()) {
    submission->hasRun = true;
    return RetryRepeatable(*submission,
                           aKey.index,
                           RetryReason::UpstreamLost,
                           AnswerReason::UpstreamLost,
                           aNow);
  }
  End(*submission, AnswerState::MayHaveRun, AnswerReason::UpstreamLost, aNow);
}

void
Dispatcher::OnTick(MonotonicTime aNow)
{
  StartRound(aNow);
  FinishRounds(aNow);
  ExpireLostAgents(aNow);
  ExpireDeadlines(aNow);
  FailUnfit(aNow);
  ExpireUnconfirmed(aNow);
  ExpireAnswers(aNow);
  PlaceReady(aNow);
}

void
Dispatcher::ExpireLostAgents(MonotonicTime aNow)
{
  for (auto& [upstream, record] : directory_.All()) {
    if (!record.linkUp && record.downSince &&
        aNow - *record.downSince > limits_.agentGrace) {
      record.downSince.reset();
      LoseTasks(record, aNow);
    }
  }
}

void
Dispatcher::ExpireDeadlines(MonotonicTime aNow)
{
  while (!deadlines_.empty() && deadlines_.begin()->first <= aNow) {
    auto id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    auto& submission = submissions_.at(id);
    switch (submission.phase) {
      case SubmissionPhase::Running:
        EndEarly(submission, AnswerReason::DeadlinePassed, aNow);
        break;
      case SubmissionPhase::Claiming:
        // The claim may take effect yet, and another entry may run it.
        EndWith(
          submission,
          { id, AnswerState::MayHaveRun, AnswerReason::TableUnavailable, {} },
          aNow);
        break;
      case SubmissionPhase::Following:
        EndWith(
          submission,
          { id, AnswerState::MayHaveRun, AnswerReason::OutcomeUnknown, {} },
          aNow);
        break;
      case SubmissionPhase::TakingOver:
        End(submission, AnswerState::MayHaveRun, AnswerReason::OwnerLost, aNow);
        break;
      case SubmissionPhase::Ended:
        break;
    }
  }
}

void
Dispatcher::FailUnfit(MonotonicTime aNow)
{
  std::vector<SubmissionId> unfit;
  std::uint32_t looks = 0;
  ready_.VisitInOrder([&](const ReadyTask& aTask) {
    auto& submission = submissions_.at(aTask.key.submission);
    if (aNow - submission.submittedAt > limits_.fitPatience &&
        !directory_.CouldEverFit(NeedsOf(submission, aTask.key.index))) {
      unfit.push_back(aTask.key.submission);
      return Visit::SkipTeam;
    }
    return ++looks > kMaxSkips ? Visit::Stop : Visit::Skip;
  });
  for (const auto& id : unfit) {
    EndEarly(submissions_.at(id), AnswerReason::CannotFit, aNow);
  }
}

void
Dispatcher::ExpireAnswers(MonotonicTime aNow)
{
  while (!ended_.empty() &&
         ended_.begin()->first + limits_.answerRetention <= aNow) {
    auto id = ended_.begin()->second;
    ended_.erase(ended_.begin());
    auto found = submissions_.find(id);
    if (found != submissions_.end()) {
      submissions_.erase(found);
    }
  }
}

void
Dispatcher::EndEarly(Submission& aSubmission,
                     AnswerReason aReason,
                     MonotonicTime aNow)
{
  bool isSent = std::any_of(
    aSubmission.tasks.begin(), aSubmission.tasks.end(), [](const auto& aTask) {
      return aTask.phase == TaskPhase::Sent;
    });
  // A task that a gate refused did not start, so what counts is what is out
  // now and what has run.
  auto state = isSent ? AnswerState::MayHaveRun : AnswerState::NotRun;
  if (aSubmission.hasRun) {
    state = AnswerState::Failed;
  }
  End(aSubmission, state, aReason, aNow);
}

void
Dispatcher::End(Submission& aSubmission,
                AnswerState aState,
                AnswerReason aReason,
                MonotonicTime aNow)
{
  Answer answer{ aSubmission.request.id, aState, aReason, {} };
  if (aState == AnswerState::Complete) {
    answer.tasks.reserve(aSubmission.tasks.size());
    for (std::size_t i = 0; i < aSubmission.tasks.size(); ++i) {
      answer.tasks.push_back({ aSubmission.request.tasks[i].id,
                               std::move(aSubmission.tasks[i].payload) });
    }
  } else {
    WithdrawTasks(aSubmission);
  }
  // This life may have been fenced without knowing, and the new owner may run
  // what is "not run" here. The table tells, so it is asked first.
  aSubmission.unconfirmed =
    aSubmission.IsClaimed() && aState == AnswerState::NotRun;
  EndWith(aSubmission, std::move(answer), aNow);
  if (aSubmission.IsClaimed()) {
    port_.Record(aSubmission.answer,
                 aSubmission.request.digest,
                 aSubmission.request.deadline);
  }
}

void
Dispatcher::EndWith(Submission& aSubmission, Answer aAnswer, MonotonicTime aNow)
{
  unfinishedTasks_ -= aSubmission.unfinished;
  aSubmission.unfinished = 0;
  aSubmission.phase = SubmissionPhase::Ended;
  aSubmission.endedAt = aNow;
  aSubmission.answer = std::move(aAnswer);
  deadlines_.erase({ aSubmission.deadline, aSubmission.request.id });
  Note(aSubmission,
       DecisionKind::Ended,
       aNow,
       0,
       {},
       AnswerReasonName(aSubmission.answer.reason));
  if (aSubmission.unconfirmed) {
    unconfirmed_.emplace(aNow + limits_.confirmPatience,
                         aSubmission.request.id);
  } else {
    DeliverAll(aSubmission, aSubmission.answer);
  }
  if (!aSubmission.IsClaimed()) {
    ended_.emplace(aNow, aSubmission.request.id);
  }
}

void
Dispatcher::DeliverAll(Submission& aSubmission, const Answer& aAnswer)
{
  for (auto waiter : aSubmission.waiters) {
    port_.Deliver(waiter, aAnswer);
  }
  waiting_ -= aSubmission.waiters.size();
  aSubmission.waiters.clear();
}

void
Dispatcher::ExpireUnconfirmed(MonotonicTime aNow)
{
  while (!unconfirmed_.empty() && unconfirmed_.begin()->first <= aNow) {
    auto id = unconfirmed_.begin()->second;
    unconfirmed_.erase(unconfirmed_.begin());
    auto found = submissions_.find(id);
    if (found == submissions_.end() || !found->second.unconfirmed) {
      continue;
    }
    auto answer = found->second.answer;
    answer.state = AnswerState::MayHaveRun;
    DeliverAll(found->second, answer);
  }
}

void
Dispatcher::WithdrawTasks(Submission& aSubmission)
{
  std::map<UpstreamId, protocol::Cancel> cancels;
  for (std::uint32_t i = 0; i < aSubmission.tasks.size(); ++i) {
    protocol::TaskKey key{ aSubmission.request.id, i };
    const auto& task = aSubmission.tasks[i];
    if (task.phase == TaskPhase::Waiting) {
      ready_.Erase(key);
    } else if (task.phase == TaskPhase::Sent) {
      cancels[task.upstream].keys.push_back(std::move(key));
    }
  }
  for (auto& [upstream, cancel] : cancels) {
    port_.SendToAgent(upstream, std::move(cancel));
  }
}

void
Dispatcher::AcknowledgeAll(Submission& aSubmission)
{
  for (const auto& [upstream, number] : aSubmission.unacknowledged) {
    port_.Acknowledge(upstream, number);
  }
  aSubmission.unacknowledged.clear();
}

void
Dispatcher::Note(Submission& aSubmission,
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
  return waiting_ == 0 && unrecorded_ == 0;
}

}
