#include "LibJob/RunSupervisor.h"

#include <cstdlib>

namespace vanillaworks::job {

namespace {
/** Longer than a caller tries. */
constexpr std::chrono::seconds kLossRetention{ 60 };
constexpr std::size_t kMaxRecentLosses = 1000;
/** The learned slowness is saved if it changed by more than a fifth. */
constexpr std::int64_t kSlownessSaveDivisor = 5;
/** Bounds the writes to the store. */
constexpr Milliseconds kMinSlownessSaveInterval{ 5000 };

/** The outcome of runs that end because the runner does not run them any more.
 */
protocol::RunOutcome
OutcomeOf(EndEvidence aEvidence)
{
  bool isLost = aEvidence == EndEvidence::RunnerLost ||
                aEvidence == EndEvidence::RunnerSilent;
  return isLost ? protocol::RunOutcome::RunnerLost
                : protocol::RunOutcome::Stopped;
}
}

RunSupervisor::RunSupervisor(UpstreamId aUpstream,
                             Incarnation aIncarnation,
                             RunSupervisorLimits aLimits,
                             const ControlView& aControl,
                             RunSupervisorPort& aPort)
  : upstream_(std::move(aUpstream))
  , incarnation_(aIncarnation)
  , limits_(aLimits)
  , control_(aControl)
  , port_(aPort)
{
}

void
RunSupervisor::OnRunnerReport(const RunnerReport& aReport, MonotonicTime aNow)
{
  bool isKnownIncarnation = runner_ && runner_->report.id == aReport.id &&
                            runner_->report.startedMs == aReport.startedMs;
  if (!isKnownIncarnation && !MayBeNext(aReport, aNow)) {
    port_.OnReportIgnored(aReport);
    ProbeRunner(aNow);
    return;
  }
  if (!isKnownIncarnation) {
    // This may be a delayed report of an earlier incarnation, so a hold call
    // checks which incarnation is running.
    VerifyReport(aReport, aReport.clockMs, aNow);
    return;
  }
  if (aReport.learnedSlowness > 0) {
    // The saved report came later than the runner's own.
    health_.Seed(aReport.learnedSlowness, aNow);
    runner_->report.learnedSlowness = aReport.learnedSlowness;
    port_.SaveReport(runner_->report);
    ++statusRevision_;
  }
  bool isFirst = runner_->report.isInferred;
  if (!isFirst && aReport.sequence <= runner_->report.sequence) {
    return;
  }
  bool hasOtherHardware = isFirst && runner_->report.labels != aReport.labels;
  if (hasOtherHardware) {
    runner_->report.learnedSlowness = 0;
    health_.Reset();
  }
  auto learnedSlowness = runner_->report.learnedSlowness;
  runner_->report = aReport;
  runner_->report.learnedSlowness = learnedSlowness;
  if (aReport.state == RunnerState::Ready) {
    // The announcement was that of an earlier incarnation.
    runner_->isLeaving = false;
  }
  if (isFirst) {
    port_.SaveReport(runner_->report);
  }
  runner_->clock.OnRead(aReport.clockMs, aNow);
  UpdateRoomKnown(aNow);
  ++statusRevision_;
  StartQueuedRuns(aNow);
  FlushReports();
}

void
RunSupervisor::EndRunsExcept(const std::set<RunKey>& aKept,
                             EndEvidence aEvidence,
                             MonotonicTime aNow)
{
  std::vector<RunKey> lost;
  for (const auto& [key, run] : runs_) {
    if (run.OccupiesResources() && !aKept.contains(key)) {
      lost.push_back(key);
    }
  }
  if (OutcomeOf(aEvidence) == protocol::RunOutcome::RunnerLost) {
    AnnounceLosses(lost,
                   aEvidence == EndEvidence::RunnerSilent
                     ? protocol::LossState::Suspected
                     : protocol::LossState::Confirmed,
                   aNow);
  }
  for (const auto& key : lost) {
    End(key, OutcomeOf(aEvidence), aEvidence, aNow);
  }
}

void
RunSupervisor::AnnounceLosses(const std::vector<RunKey>& aLost,
                              protocol::LossState aState,
                              MonotonicTime aNow)
{
  if (aLost.empty()) {
    return;
  }
  protocol::LostRuns message;
  message.state = aState;
  for (const auto& key : aLost) {
    message.runs.push_back(
      { key.job, key.task.index, runner_->report.startedMs });
    // Only the latest that is known of a loss is told on new links.
    std::erase_if(recentLosses_, [&message](const RecentLoss& aLoss) {
      return aLoss.run == message.runs.back();
    });
    recentLosses_.push_back(
      { message.runs.back(), aState, aNow + kLossRetention });
  }
  while (recentLosses_.size() > kMaxRecentLosses) {
    recentLosses_.pop_front();
  }
  // Entries learn of the losses before they can place the tasks again.
  SendToEntries(message);
}

void
RunSupervisor::ResolveSuspectedLosses(protocol::LossState aAs)
{
  protocol::LostRuns message;
  message.state = aAs;
  for (auto& loss : recentLosses_) {
    if (loss.state == protocol::LossState::Suspected) {
      loss.state = aAs;
      message.runs.push_back(loss.run);
    }
  }
  if (!message.runs.empty()) {
    SendToEntries(message);
  }
}

void
RunSupervisor::SendToEntries(const protocol::LostRuns& aLost)
{
  for (const auto& session : sessions_) {
    port_.SendToEntry(session.first, aLost);
  }
}

void
RunSupervisor::SaveLearnedSlowness(MonotonicTime aNow)
{
  auto learned = health_.LearnedSlownessPermille();
  if (!runner_ || learned == 0 ||
      aNow - slownessSavedAt_ < kMinSlownessSaveInterval) {
    return;
  }
  auto saved = runner_->report.learnedSlowness;
  if (std::abs(learned - saved) <= saved / kSlownessSaveDivisor) {
    return;
  }
  slownessSavedAt_ = aNow;
  runner_->report.learnedSlowness = learned;
  port_.SaveReport(runner_->report);
}

RunnerTarget
RunSupervisor::Target() const
{
  return { runner_->report.id, runner_->report.address, runner_->token };
}

void
RunSupervisor::End(const RunKey& aKey,
                   protocol::RunOutcome aOutcome,
                   EndEvidence aEvidence,
                   MonotonicTime aNow)
{
  auto found = runs_.find(aKey);
  if (found == runs_.end()) {
    return;
  }
  auto run = std::move(found->second);
  runs_.erase(found);
  queue_.erase({ run.priority, run.arrival, run.key });
  protocol::RunEnd end{ run.key.task, aOutcome, 0 };
  if (run.OccupiesResources()) {
    end.elapsedMs =
      std::chrono::duration_cast<Milliseconds>(aNow - run.calledAt).count();
  }
  if (aOutcome == protocol::RunOutcome::Done) {
    health_.OnDone(run.estimate, Milliseconds(end.elapsedMs), aNow);
  }
  if (aOutcome == protocol::RunOutcome::Failed) {
    health_.OnFailed(run.key.job, aNow);
  }
  recentEnds_[{ run.entry, run.key }] = { end, aNow + limits_.endRetention };
  reports_[{ run.entry, run.key.job }].push_back(end);
  NotifyEnded(run, end, aEvidence, aNow);
  ReleaseBlockedOrders(
    [&run](const BlockedOrder& aOrder) {
      return aOrder.key.job == run.key.job &&
             aOrder.key.task.index == run.key.task.index;
    },
    aNow);
  ++statusRevision_;
}

void
RunSupervisor::NotifyEnded(const Run& aRun,
                           const protocol::RunEnd& aEnd,
                           EndEvidence aEvidence,
                           MonotonicTime aNow)
{
  Milliseconds sinceStop{ 0 };
  if (aRun.IsStopping()) {
    sinceStop =
      std::chrono::duration_cast<Milliseconds>(aNow - aRun.stopDecidedAt);
  }
  Milliseconds sinceContact{ 0 };
  auto session = sessions_.find(aRun.entry);
  if (session != sessions_.end()) {
    sinceContact = std::chrono::duration_cast<Milliseconds>(
      aNow - session->second.revalidatedAt);
  }
  port_.OnRunEnded({ aRun.entry,
                     aRun.key.job,
                     aEnd,
                     aEvidence,
                     aRun.stopReason,
                     sinceStop,
                     sinceContact });
}

void
RunSupervisor::FlushReports()
{
  auto reports = std::move(reports_);
  reports_.clear();
  for (auto& [to, ends] : reports) {
    port_.SendToEntry(to.first,
                      protocol::RunReport{ to.second, std::move(ends) });
  }
}

}
