#include "LibDispatch/Dispatcher.h"

#include <algorithm>

namespace vanillaworks::dispatch {

void
Dispatcher::OnClaim(const SubmissionId& aSubmission,
                    const ClaimOutcome& aOutcome,
                    MonotonicTime aNow)
{
  auto found = submissions_.find(aSubmission);
  if (found == submissions_.end()) {
    return;
  }
  auto& submission = found->second;
  bool isOwnedHere = std::holds_alternative<ClaimGranted>(aOutcome) ||
                     std::holds_alternative<ClaimTakenOver>(aOutcome);
  if (submission.phase == SubmissionPhase::Ended) {
    if (submission.recorded) {
      return;
    }
    if (isOwnedHere) {
      // The submission was answered "may have run" while the table was
      // unavailable. That answer remains valid; the record is more precise if
      // no task can have started.
      bool isNew = std::holds_alternative<ClaimGranted>(aOutcome) &&
                   submission.answer.reason == AnswerReason::TableUnavailable;
      if (isNew) {
        submission.answer.state = AnswerState::NotRun;
      }
      port_.Record(submission.answer,
                   submission.request.digest,
                   submission.request.deadline);
      return;
    }
    // Another owner has the claim, or the outcome is already recorded; this
    // entry has no record to write.
    submission.recorded = true;
    --unrecordedCount_;
    ended_.emplace(submission.endedAt, aSubmission);
    return;
  }
  if (const auto* granted = std::get_if<ClaimGranted>(&aOutcome)) {
    if (granted->owner != self_) {
      // The incarnation that requested the claim has been fenced since. Other
      // entries may take over its claim at any time, so the claim is
      // transferred to the current incarnation first.
      return OnClaimHeld(
        submission, { granted->owner, submission.request.digest }, aNow);
    }
    RecordDecision(submission, DecisionKind::ClaimGranted, aNow);
    BeginRunning(submission, aNow);
    PlaceReady(aNow);
  } else if (const auto* held = std::get_if<ClaimHeld>(&aOutcome)) {
    OnClaimHeld(submission, *held, aNow);
  } else if (const auto* taken = std::get_if<ClaimTakenOver>(&aOutcome)) {
    OnTakenOver(submission, *taken, aNow);
  } else if (const auto* recorded = std::get_if<ClaimRecorded>(&aOutcome)) {
    auto answer = recorded->answer;
    if (recorded->digest != submission.request.digest) {
      answer = {
        aSubmission, AnswerState::Failed, AnswerReason::DigestMismatch, {}
      };
    }
    submission.recorded = true;
    --unrecordedCount_;
    EndWithAnswer(submission, std::move(answer), aNow);
    ended_.emplace(aNow, aSubmission);
  } else {
    // The row expired while this entry was following the owner.
    port_.Claim(
      aSubmission, submission.request.digest, submission.request.deadline);
  }
}

void
Dispatcher::OnClaimHeld(Submission& aSubmission,
                        const ClaimHeld& aHeld,
                        MonotonicTime aNow)
{
  const auto& id = aSubmission.request.id;
  if (aHeld.digest != aSubmission.request.digest) {
    aSubmission.recorded = true;
    --unrecordedCount_;
    EndWithAnswer(aSubmission,
                  { id, AnswerState::Failed, AnswerReason::DigestMismatch, {} },
                  aNow);
    ended_.emplace(aNow, id);
    return;
  }
  if (aSubmission.phase != SubmissionPhase::Following) {
    aSubmission.phase = SubmissionPhase::Following;
    RecordDecision(aSubmission, DecisionKind::FollowingOwner, aNow);
  }
  // The owner may be an earlier incarnation of this entry, or the claim may be
  // of a submission that was answered and removed here. Such an owner can be
  // fenced like any other.
  if (members_.IsLapsed(aHeld.owner)) {
    RecordDecision(aSubmission, DecisionKind::TakeoverAsked, aNow);
    port_.TakeOver(id,
                   aSubmission.request.digest,
                   aHeld.owner,
                   aSubmission.request.deadline);
    return;
  }
  port_.PollClaim(id);
}

void
Dispatcher::OnTakenOver(Submission& aSubmission,
                        const ClaimTakenOver& aTakenOver,
                        MonotonicTime aNow)
{
  if (aTakenOver.owner != self_) {
    // The incarnation that requested the takeover has been fenced since.
    return OnClaimHeld(
      aSubmission, { aTakenOver.owner, aSubmission.request.digest }, aNow);
  }
  aSubmission.phase = SubmissionPhase::TakingOver;
  bool isStartRecordLost =
    std::any_of(aTakenOver.upstreams.begin(),
                aTakenOver.upstreams.end(),
                [&aTakenOver](const UpstreamRow& aRow) {
                  return (aRow.replaced || aRow.gone) &&
                         aRow.sequence > aTakenOver.sequence;
                });
  if (isStartRecordLost) {
    // An agent incarnation that may have started tasks has ended, and its
    // record of started tasks is lost.
    return End(
      aSubmission, AnswerState::MayHaveRun, AnswerReason::UpstreamLost, aNow);
  }
  if (!nextRound_) {
    nextRound_.emplace();
    nextRound_->fence.round = nextRoundNumber_++;
  }
  auto& fence = nextRound_->fence;
  fence.submissions.push_back(aSubmission.request.id);
  for (const auto& [entry, incarnation] : aTakenOver.fences) {
    auto& newest = fence.fences[entry];
    newest = std::max(newest, incarnation);
  }
  for (const auto& row : aTakenOver.upstreams) {
    if (!row.gone) {
      auto& oldest =
        nextRound_->waiting.try_emplace(row.upstream, row.incarnation)
          .first->second;
      oldest = std::min(oldest, row.incarnation);
    }
  }
}

void
Dispatcher::StartRound(MonotonicTime aNow)
{
  if (!nextRound_) {
    return;
  }
  rounds_.push_back(std::move(*nextRound_));
  nextRound_.reset();
  auto& round = rounds_.back();
  round.expiresAt = aNow + limits_.takeoverTimeout;
  for (const auto& [upstream, incarnation] : round.waiting) {
    auto* record = directory_.Find(upstream);
    if (record && record->isLinkUp) {
      port_.SendToAgent(upstream, round.fence);
    }
  }
}

void
Dispatcher::OnFenceReport(const UpstreamId& aUpstream,
                          const protocol::FenceReport& aReport,
                          MonotonicTime aNow)
{
  for (auto& round : rounds_) {
    auto expectedReport = round.waiting.find(aUpstream);
    if (round.fence.round != aReport.round ||
        expectedReport == round.waiting.end()) {
      continue;
    }
    // A later incarnation of the agent has no record of the tasks that an
    // earlier one started.
    const auto* record = directory_.Find(aUpstream);
    if (record->hello.incarnation != expectedReport->second) {
      round.isStartRecordLost = true;
    }
    round.waiting.erase(expectedReport);
    for (const auto& key : aReport.running) {
      round.found[key] = { aUpstream, FoundTask::State::Running, {} };
    }
    for (const auto& result : aReport.ended) {
      round.found[result.key] = { aUpstream, FoundTask::State::Ended, result };
    }
    for (const auto& key : aReport.forgotten) {
      round.found[key] = { aUpstream, FoundTask::State::ResultDropped, {} };
    }
  }
  FinishRounds(aNow);
}

void
Dispatcher::FinishRounds(MonotonicTime aNow)
{
  for (auto round = rounds_.begin(); round != rounds_.end();) {
    bool isOver = round->waiting.empty() || round->expiresAt <= aNow;
    if (!isOver) {
      ++round;
      continue;
    }
    auto finished = std::move(*round);
    round = rounds_.erase(round);
    for (const auto& id : finished.fence.submissions) {
      auto found = submissions_.find(id);
      if (found != submissions_.end() &&
          found->second.phase == SubmissionPhase::TakingOver) {
        ResolveTakeover(found->second, finished, aNow);
      }
    }
    PlaceReady(aNow);
  }
}

void
Dispatcher::DropFoundTasks(const UpstreamId& aUpstream)
{
  for (auto& round : rounds_) {
    for (auto& [key, task] : round.found) {
      bool isRunningThere =
        task.upstream == aUpstream && task.state == FoundTask::State::Running;
      if (isRunningThere) {
        task.state = FoundTask::State::ResultDropped;
      }
    }
  }
}

void
Dispatcher::ResolveTakeover(Submission& aSubmission,
                            const FenceRound& aRound,
                            MonotonicTime aNow)
{
  RecordDecision(aSubmission, DecisionKind::TakeoverResolved, aNow);
  aSubmission.phase = SubmissionPhase::Running;
  if (aRound.isStartRecordLost) {
    return End(
      aSubmission, AnswerState::MayHaveRun, AnswerReason::UpstreamLost, aNow);
  }
  if (!aRound.waiting.empty()) {
    return End(
      aSubmission, AnswerState::MayHaveRun, AnswerReason::OwnerLost, aNow);
  }
  std::vector<protocol::TaskResult> ended;
  std::vector<UpstreamId> endedAt;
  for (std::uint32_t i = 0; i < aSubmission.tasks.size(); ++i) {
    auto found = aRound.found.find({ aSubmission.request.id, i });
    if (found == aRound.found.end()) {
      continue;
    }
    const auto& task = found->second;
    if (task.state == FoundTask::State::ResultDropped) {
      return End(
        aSubmission, AnswerState::MayHaveRun, AnswerReason::ResultLost, aNow);
    }
    aSubmission.tasks[i].phase = TaskPhase::Sent;
    aSubmission.tasks[i].upstream = task.upstream;
    directory_.FindOrAdd(task.upstream)
      .outstanding.emplace(found->first, aSubmission.request.team);
    ready_.OnPlaced(aSubmission.request.team);
    if (task.state == FoundTask::State::Ended) {
      ended.push_back(task.result);
      endedAt.push_back(task.upstream);
    }
  }
  auto id = aSubmission.request.id;
  BeginRunning(aSubmission, aNow);
  for (std::size_t i = 0; i < ended.size(); ++i) {
    OnResult(endedAt[i], ended[i], aNow);
  }
}

void
Dispatcher::OnRecorded(const SubmissionId& aSubmission,
                       const ClaimOutcome& aOutcome,
                       MonotonicTime aNow)
{
  auto found = submissions_.find(aSubmission);
  if (found == submissions_.end() || found->second.recorded) {
    return;
  }
  auto& submission = found->second;
  submission.recorded = true;
  --unrecordedCount_;
  RecordDecision(submission, DecisionKind::Recorded, aNow);
  if (const auto* recorded = std::get_if<ClaimRecorded>(&aOutcome)) {
    submission.answer = recorded->answer;
  } else if (submission.isUnconfirmed) {
    // Another owner has the claim and has not recorded an outcome.
    submission.answer.state = AnswerState::MayHaveRun;
    submission.answer.reason = AnswerReason::OutcomeUnknown;
  }
  submission.isUnconfirmed = false;
  DeliverAll(submission, submission.answer);
  // If the claim was taken over, the results belong to the new owner, and
  // agents ignore acknowledgements of a fenced incarnation.
  AcknowledgeAll(submission);
  ended_.emplace(aNow, aSubmission);
}

void
Dispatcher::StartNewIncarnation(Incarnation aIncarnation, MonotonicTime aNow)
{
  self_.incarnation = aIncarnation;
  fenced_ = false;
  rounds_.clear();
  nextRound_.reset();
  for (auto& [upstream, record] : directory_.All()) {
    record.outstanding.clear();
    record.isLinkUp = false;
    record.downSince.reset();
  }
  for (auto& [id, submission] : submissions_) {
    submission.unacknowledged.clear();
    bool wasRunning = submission.phase == SubmissionPhase::Running;
    bool wasTakingOver = submission.phase == SubmissionPhase::TakingOver;
    if (!wasRunning && !wasTakingOver) {
      continue;
    }
    bool wasSent = false;
    for (std::uint32_t i = 0; i < submission.tasks.size(); ++i) {
      auto& task = submission.tasks[i];
      if (task.phase == TaskPhase::Sent) {
        wasSent = true;
        ready_.OnEnded(submission.request.team);
      }
      if (task.phase == TaskPhase::Waiting) {
        ready_.Erase({ id, i });
      }
      if (task.phase == TaskPhase::Completed) {
        ++submission.unfinished;
        ++unfinishedTasks_;
      }
      task = {};
    }
    if (submission.IsClaimed()) {
      submission.phase = SubmissionPhase::Following;
      port_.PollClaim(id);
    } else {
      submission.hasRun = submission.hasRun || wasSent;
      BeginRunning(submission, aNow);
    }
  }
}

}
