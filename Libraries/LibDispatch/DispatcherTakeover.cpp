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
  bool isOursNow = std::holds_alternative<ClaimGranted>(aOutcome) ||
                   std::holds_alternative<ClaimTakenOver>(aOutcome);
  if (submission.phase == SubmissionPhase::Ended) {
    if (submission.recorded) {
      return;
    }
    if (isOursNow) {
      // It was answered as unknown while the table was silent. What the
      // caller was told stays true, and what is recorded is more exact where
      // nothing can have started.
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
    // It is another's, or recorded; nothing of ours is left to write.
    submission.recorded = true;
    --unrecorded_;
    ended_.emplace(submission.endedAt, aSubmission);
    return;
  }
  if (const auto* granted = std::get_if<ClaimGranted>(&aOutcome)) {
    if (granted->owner != self_) {
      // The life that asked was fenced meanwhile; others may fence it again
      // at any time, so the claim is moved to this life first.
      return OnClaimHeld(
        submission, { granted->owner, submission.request.digest }, aNow);
    }
    Note(submission, DecisionKind::ClaimGranted, aNow);
    Begin(submission, aNow);
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
    --unrecorded_;
    EndWith(submission, std::move(answer), aNow);
    ended_.emplace(aNow, aSubmission);
  } else {
    // The row expired while we followed it.
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
    --unrecorded_;
    EndWith(aSubmission,
            { id, AnswerState::Failed, AnswerReason::DigestMismatch, {} },
            aNow);
    ended_.emplace(aNow, id);
    return;
  }
  if (aSubmission.phase != SubmissionPhase::Following) {
    aSubmission.phase = SubmissionPhase::Following;
    Note(aSubmission, DecisionKind::FollowingOwner, aNow);
  }
  // A claim of an earlier life of ours, or of one that was answered and
  // forgotten here, has an owner that can be fenced like any other's.
  if (members_.IsLapsed(aHeld.owner)) {
    Note(aSubmission, DecisionKind::TakeoverAsked, aNow);
    port_.TakeOver(id,
                   aSubmission.request.digest,
                   aHeld.owner,
                   aSubmission.request.deadline);
    return;
  }
  port_.Watch(id);
}

void
Dispatcher::OnTakenOver(Submission& aSubmission,
                        const ClaimTakenOver& aTakenOver,
                        MonotonicTime aNow)
{
  aSubmission.phase = SubmissionPhase::TakingOver;
  bool isHistoryLost = std::any_of(aTakenOver.upstreams.begin(),
                                   aTakenOver.upstreams.end(),
                                   [&aTakenOver](const UpstreamRow& aRow) {
                                     return (aRow.replaced || aRow.gone) &&
                                            aRow.sequence > aTakenOver.sequence;
                                   });
  if (isHistoryLost) {
    // A life of an agent that could have started tasks is over, and what it
    // started went with it.
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
      auto& life =
        nextRound_->waiting.try_emplace(row.upstream, row.incarnation)
          .first->second;
      life = std::min(life, row.incarnation);
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
  round.patience = aNow + limits_.takeoverPatience;
  for (const auto& [upstream, incarnation] : round.waiting) {
    auto* record = directory_.Find(upstream);
    if (record && record->linkUp) {
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
    auto asked = round.waiting.find(aUpstream);
    if (round.fence.round != aReport.round || asked == round.waiting.end()) {
      continue;
    }
    // A later life of the agent knows nothing of what an earlier one started.
    const auto* record = directory_.Find(aUpstream);
    if (record->hello.incarnation != asked->second) {
      round.isHistoryLost = true;
    }
    round.waiting.erase(asked);
    for (const auto& key : aReport.running) {
      round.found[key] = { aUpstream, FoundTask::Fate::Running, {} };
    }
    for (const auto& result : aReport.ended) {
      round.found[result.key] = { aUpstream, FoundTask::Fate::Ended, result };
    }
    for (const auto& key : aReport.forgotten) {
      round.found[key] = { aUpstream, FoundTask::Fate::Forgotten, {} };
    }
  }
  FinishRounds(aNow);
}

void
Dispatcher::FinishRounds(MonotonicTime aNow)
{
  for (auto round = rounds_.begin(); round != rounds_.end();) {
    bool isOver = round->waiting.empty() || round->patience <= aNow;
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
Dispatcher::ResolveTakeover(Submission& aSubmission,
                            const FenceRound& aRound,
                            MonotonicTime aNow)
{
  Note(aSubmission, DecisionKind::TakeoverResolved, aNow);
  aSubmission.phase = SubmissionPhase::Running;
  if (aRound.isHistoryLost) {
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
    if (task.fate == FoundTask::Fate::Forgotten) {
      return End(
        aSubmission, AnswerState::MayHaveRun, AnswerReason::ResultLost, aNow);
    }
    aSubmission.tasks[i].phase = TaskPhase::Sent;
    aSubmission.tasks[i].upstream = task.upstream;
    directory_.FindOrAdd(task.upstream)
      .outstanding.emplace(found->first, aSubmission.request.team);
    ready_.OnPlaced(aSubmission.request.team);
    if (task.fate == FoundTask::Fate::Ended) {
      ended.push_back(task.result);
      endedAt.push_back(task.upstream);
    }
  }
  auto id = aSubmission.request.id;
  Begin(aSubmission, aNow);
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
  --unrecorded_;
  Note(submission, DecisionKind::Recorded, aNow);
  if (const auto* recorded = std::get_if<ClaimRecorded>(&aOutcome)) {
    submission.answer = recorded->answer;
  } else if (submission.unconfirmed) {
    // Another life owns it and has not ended it.
    submission.answer.state = AnswerState::MayHaveRun;
    submission.answer.reason = AnswerReason::OutcomeUnknown;
  }
  submission.unconfirmed = false;
  DeliverAll(submission, submission.answer);
  // Where the claim was taken from us the results belong to the new owner,
  // and agents ignore what a fenced life acknowledges.
  AcknowledgeAll(submission);
  ended_.emplace(aNow, aSubmission);
}

void
Dispatcher::Reincarnate(Incarnation aIncarnation, MonotonicTime aNow)
{
  self_.incarnation = aIncarnation;
  fenced_ = false;
  rounds_.clear();
  nextRound_.reset();
  for (auto& [upstream, record] : directory_.All()) {
    record.outstanding.clear();
    record.linkUp = false;
    record.downSince.reset();
  }
  for (auto& [id, submission] : submissions_) {
    submission.unacknowledged.clear();
    bool wasRunning = submission.phase == SubmissionPhase::Running;
    bool wasTakingOver = submission.phase == SubmissionPhase::TakingOver;
    if (!wasRunning && !wasTakingOver) {
      continue;
    }
    for (std::uint32_t i = 0; i < submission.tasks.size(); ++i) {
      auto& task = submission.tasks[i];
      if (task.phase == TaskPhase::Sent) {
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
      port_.Watch(id);
    } else {
      Begin(submission, aNow);
    }
  }
}

}
