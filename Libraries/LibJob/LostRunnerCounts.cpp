#include "LibJob/LostRunnerCounts.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
constexpr std::chrono::seconds kRetention{ 60 };
constexpr std::size_t kMaxLosses = 50'000;
/** Losses after which a task that was once to blame alone is given up. */
constexpr std::size_t kMaxBlames = 3;
/** Losses after which a task is given up whatever was beside it. */
constexpr std::size_t kMaxLostRunners = 4;
}

void
LostRunnerCounts::Add(const UpstreamId& aUpstream,
                      const protocol::LostRuns& aLost,
                      MonotonicTime aNow)
{
  std::map<Runner, std::vector<Task>> newByRunner;
  for (const auto& run : aLost.runs) {
    Task task(run.job, run.task);
    Runner runner(aUpstream, run.runnerStartedMs);
    if (!RecordOf(task).runners.contains(runner)) {
      newByRunner[runner].push_back(std::move(task));
    }
  }
  for (const auto& [runner, tasks] : newByRunner) {
    AddLossOf(runner, tasks, aNow);
  }
}

void
LostRunnerCounts::AddLossOf(const Runner& aRunner,
                            const std::vector<Task>& aTasks,
                            MonotonicTime aNow)
{
  std::size_t mostBlames = 0;
  for (const auto& task : aTasks) {
    mostBlames = std::max(mostBlames, RecordOf(task).blames);
  }
  std::vector<Record*> toBlame;
  for (const auto& task : aTasks) {
    auto& record = RecordOf(task);
    if (!record.runners.insert(aRunner).second) {
      // The message names the loss more than once.
      continue;
    }
    losses_.push_back({ task, aRunner, aNow });
    if (record.blames == mostBlames) {
      toBlame.push_back(&record);
    }
  }
  for (auto* record : toBlame) {
    ++record->blames;
    record->wasBlamedAlone |= toBlame.size() == 1;
  }
  while (losses_.size() > kMaxLosses) {
    ForgetOldest();
  }
}

bool
LostRunnerCounts::IsGivenUp(const SubmissionId& aJob, std::uint32_t aTask) const
{
  const auto* record = Find(aJob, aTask);
  return record && ((record->wasBlamedAlone && record->blames >= kMaxBlames) ||
                    record->runners.size() >= kMaxLostRunners);
}

const LostRunnerCounts::Record*
LostRunnerCounts::Find(const SubmissionId& aJob, std::uint32_t aTask) const
{
  auto job = records_.find(aJob);
  if (job == records_.end()) {
    return nullptr;
  }
  auto task = job->second.find(aTask);
  return task == job->second.end() ? nullptr : &task->second;
}

void
LostRunnerCounts::OnTick(MonotonicTime aNow)
{
  while (!losses_.empty() && aNow - losses_.front().at >= kRetention) {
    ForgetOldest();
  }
}

void
LostRunnerCounts::ForgetOldest()
{
  const auto& oldest = losses_.front();
  auto& tasks = records_.at(oldest.task.first);
  auto& record = tasks.at(oldest.task.second);
  record.runners.erase(oldest.runner);
  if (record.runners.empty()) {
    tasks.erase(oldest.task.second);
  }
  if (tasks.empty()) {
    records_.erase(oldest.task.first);
  }
  losses_.pop_front();
}

}
