#include "LibDispatch/Dispatcher.h"

namespace vanillaworks::dispatch {

using protocol::RefusalReason;
using protocol::ResultCode;

namespace {
/** Whether the same agent may accept the task a little later. */
bool
IsTransient(RefusalReason aReason)
{
  return aReason == RefusalReason::ConfigurationStale ||
         aReason == RefusalReason::QueueFull ||
         aReason == RefusalReason::SetAside ||
         aReason == RefusalReason::NotRegistered;
}
}

std::vector<protocol::TaskKey>
Dispatcher::OnAgentHello(const protocol::AgentHello& aHello, MonotonicTime aNow)
{
  auto& record = directory_.FindOrAdd(aHello.upstream);
  bool isNewIncarnation = record.hello.incarnation != aHello.incarnation;
  if (isNewIncarnation) {
    HandleLostTasks(record, aNow);
    DropFoundTasks(aHello.upstream);
    record.serviceTimes.clear();
    record.setAside = false;
    record.registered = false;
    record.reportedOccupancy = 0;
    record.ownAtReport = 0;
  }
  record.hello = aHello;
  record.isLinkUp = true;
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
  if (!record || !record->isLinkUp) {
    return;
  }
  record->isLinkUp = false;
  record->downSince = aNow;
  // A repeatable request is retried without awaiting its first outcome.
  std::vector<protocol::TaskKey> repeatable;
  for (const auto& [key, team] : record->outstanding) {
    const auto* submission = FindRunning(key);
    if (submission && !submission->IsClaimed()) {
      repeatable.push_back(key);
    }
  }
  for (const auto& key : repeatable) {
    RemoveOutstanding(*record, key);
    HandleLostTask(key, aNow);
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
  // Tasks sent recently may not have reached the agent yet, so this is an
  // upper bound of this entry's part in the report, and the part of other
  // entries is never overestimated.
  record->ownAtReport = static_cast<std::uint32_t>(record->outstanding.size());
  PlaceReady(aNow);
}

void
Dispatcher::OnResult(const UpstreamId& aUpstream,
                     const protocol::TaskResult& aResult,
                     MonotonicTime aNow)
{
  auto& record = *directory_.Find(aUpstream);
  bool wasOutstanding = RemoveOutstanding(record, aResult.key);
  auto* submission = FindRunning(aResult.key);
  auto* progress = submission ? &submission->tasks[aResult.key.index] : nullptr;
  bool isAwaited = wasOutstanding && progress &&
                   progress->phase == TaskPhase::Sent &&
                   progress->upstream == aUpstream;
  if (!isAwaited) {
    return OnUnexpectedResult(aUpstream, aResult);
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
    directory_.AddServiceTime(record,
                              submission->request.tasks[task].kind,
                              Microseconds(aResult.service));
    return OnCompleted(*submission, task, aResult, aNow);
  }
  OnFailed(*submission, task, aResult, aNow);
}

void
Dispatcher::OnUnexpectedResult(const UpstreamId& aUpstream,
                               const protocol::TaskResult& aResult)
{
  auto known = submissions_.find(aResult.key.submission);
  bool isKnown = known != submissions_.end();
  if (isKnown && known->second.phase == SubmissionPhase::TakingOver) {
    // The task ended after its agent had reported it as running.
    for (auto& round : rounds_) {
      auto found = round.found.find(aResult.key);
      if (found != round.found.end()) {
        found->second = { aUpstream, FoundTask::State::Ended, aResult };
      }
    }
    return;
  }
  if (aResult.number == 0) {
    return;
  }
  bool needsResult =
    isKnown && known->second.IsClaimed() && !known->second.recorded;
  if (needsResult) {
    // An entry that takes over the submission before its answer is recorded
    // needs the result.
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
  RecordDecision(aSubmission,
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
  if (IsTransient(aResult.reason) ||
      aResult.reason == RefusalReason::DomainClosed) {
    aRecord.avoidUntil = aNow + limits_.refusalBackoff;
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
  RecordDecision(
    aSubmission, DecisionKind::TaskEnded, aNow, aTask, progress.upstream);
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
  RecordDecision(aSubmission,
                 DecisionKind::TaskEnded,
                 aNow,
                 aTask,
                 aSubmission.tasks[aTask].upstream,
                 "failed");
  if (aResult.reason == RefusalReason::Duplicate) {
    // The task started there before and its result has been discarded.
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
  RecordDecision(aSubmission,
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
  if (retryBudget_.TryConsume() == RetryDecision::BudgetSpent) {
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
    if (!RemoveOutstanding(record, key)) {
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
Dispatcher::RemoveOutstanding(UpstreamRecord& aRecord,
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
Dispatcher::HandleLostTasks(UpstreamRecord& aRecord, MonotonicTime aNow)
{
  auto lost = std::move(aRecord.outstanding);
  aRecord.outstanding.clear();
  for (const auto& [key, team] : lost) {
    ready_.OnEnded(team);
    HandleLostTask(key, aNow);
  }
}

void
Dispatcher::HandleLostTask(const protocol::TaskKey& aKey, MonotonicTime aNow)
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

}
