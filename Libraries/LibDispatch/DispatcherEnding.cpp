#include "LibDispatch/Dispatcher.h"

#include <algorithm>
#include <map>

namespace vanillaworks::dispatch {

namespace {
/** Placeable ready tasks that one pass may visit before it stops. */
constexpr std::uint32_t kMaxVisitedTasks = 256;
}

void
Dispatcher::OnTick(MonotonicTime aNow)
{
  StartRound(aNow);
  FinishRounds(aNow);
  ExpireLostAgents(aNow);
  ExpireDeadlines(aNow);
  FailUnplaceableTasks(aNow);
  ExpireUnconfirmed(aNow);
  ExpireAnswers(aNow);
  PlaceReady(aNow);
}

void
Dispatcher::ExpireLostAgents(MonotonicTime aNow)
{
  for (auto& [upstream, record] : directory_.All()) {
    if (!record.isLinkUp && record.downSince &&
        aNow - *record.downSince > limits_.agentGrace) {
      record.downSince.reset();
      HandleLostTasks(record, aNow);
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
        // The claim may still take effect, and another entry may run the
        // submission.
        EndWithAnswer(
          submission,
          { id, AnswerState::MayHaveRun, AnswerReason::TableUnavailable, {} },
          aNow);
        break;
      case SubmissionPhase::Following:
        EndWithAnswer(
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
Dispatcher::FailUnplaceableTasks(MonotonicTime aNow)
{
  std::vector<SubmissionId> unplaceable;
  std::uint32_t visited = 0;
  ready_.VisitInOrder([&](const ReadyTask& aTask) {
    auto& submission = submissions_.at(aTask.key.submission);
    if (aNow - submission.submittedAt > limits_.placementTimeout &&
        !directory_.HasCapableUpstream(
          RequirementsOf(submission, aTask.key.index))) {
      unplaceable.push_back(aTask.key.submission);
      return VisitResult::SkipTeam;
    }
    return ++visited > kMaxVisitedTasks ? VisitResult::Stop : VisitResult::Skip;
  });
  for (const auto& id : unplaceable) {
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
  // A task that a gate refused did not start, so the state depends only on
  // tasks that are sent now and tasks that have run.
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
  // This incarnation may have been fenced without its knowledge, and the new
  // owner may run a submission that is "not run" here. The answer is therefore
  // recorded in the table before it is delivered.
  aSubmission.isUnconfirmed =
    aSubmission.IsClaimed() && aState == AnswerState::NotRun;
  EndWithAnswer(aSubmission, std::move(answer), aNow);
  if (aSubmission.IsClaimed()) {
    port_.Record(aSubmission.answer,
                 aSubmission.request.digest,
                 aSubmission.request.deadline);
  }
}

void
Dispatcher::EndWithAnswer(Submission& aSubmission,
                          Answer aAnswer,
                          MonotonicTime aNow)
{
  unfinishedTasks_ -= aSubmission.unfinished;
  aSubmission.unfinished = 0;
  aSubmission.phase = SubmissionPhase::Ended;
  aSubmission.endedAt = aNow;
  aSubmission.answer = std::move(aAnswer);
  deadlines_.erase({ aSubmission.deadline, aSubmission.request.id });
  RecordDecision(aSubmission,
                 DecisionKind::Ended,
                 aNow,
                 0,
                 {},
                 AnswerReasonName(aSubmission.answer.reason));
  if (aSubmission.isUnconfirmed) {
    unconfirmed_.emplace(aNow + limits_.confirmationTimeout,
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
  waiterCount_ -= aSubmission.waiters.size();
  aSubmission.waiters.clear();
}

void
Dispatcher::ExpireUnconfirmed(MonotonicTime aNow)
{
  while (!unconfirmed_.empty() && unconfirmed_.begin()->first <= aNow) {
    auto id = unconfirmed_.begin()->second;
    unconfirmed_.erase(unconfirmed_.begin());
    auto found = submissions_.find(id);
    if (found == submissions_.end() || !found->second.isUnconfirmed) {
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

}
