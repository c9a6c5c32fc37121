#include "LibJob/LostRunnerCounts.h"

#include <algorithm>
#include <set>

namespace vanillaworks::job {

namespace {
constexpr std::chrono::seconds kRetention{ 60 };
constexpr std::size_t kMaxLosses = 50'000;
/** Losses after which a task that was once to blame alone is given up. */
constexpr std::size_t kMaxBlames = 3;
/** Losses after which a task is given up whatever was beside it. */
constexpr std::size_t kMaxLostRunners = 4;
/** Of these losses, so many must be known to be crashes. */
constexpr std::ptrdiff_t kMinCrashes = 2;
}

void
LostRunnerCounts::Add(const UpstreamId& aUpstream,
                      const protocol::LostRuns& aLost,
                      MonotonicTime aNow)
{
  if (aLost.state == protocol::LossState::Retracted) {
    Retract(aUpstream, aLost);
    return;
  }
  std::map<Runner, std::vector<Task>> newByRunner;
  for (const auto& run : aLost.runs) {
    Task task(run.job, run.task);
    Runner runner(aUpstream, run.runnerStartedMs);
    const auto* record = Find(task.first, task.second);
    if (!record || !record->contains(runner)) {
      newByRunner[runner].push_back(std::move(task));
    } else if (aLost.state == protocol::LossState::Confirmed) {
      RecordOf(task).at(runner).isConfirmed = true;
    }
  }
  for (const auto& [runner, tasks] : newByRunner) {
    AddLossOf(runner, tasks, aLost.state, aNow);
  }
}

void
LostRunnerCounts::AddLossOf(const Runner& aRunner,
                            const std::vector<Task>& aTasks,
                            protocol::LossState aState,
                            MonotonicTime aNow)
{
  std::size_t mostBlames = 0;
  for (const auto& task : aTasks) {
    mostBlames = std::max(mostBlames, Blames(RecordOf(task)));
  }
  std::vector<Verdict*> toBlame;
  for (const auto& task : aTasks) {
    auto& record = RecordOf(task);
    bool isToBlame = Blames(record) == mostBlames;
    auto [added, isNew] = record.emplace(aRunner, Verdict{});
    if (!isNew) {
      // The message names the loss more than once.
      continue;
    }
    added->second.isConfirmed = aState == protocol::LossState::Confirmed;
    losses_.push_back({ task, aRunner, aNow });
    if (isToBlame) {
      toBlame.push_back(&added->second);
    }
  }
  for (auto* verdict : toBlame) {
    verdict->isBlamed = true;
    verdict->isBlamedAlone = toBlame.size() == 1;
  }
  while (losses_.size() > kMaxLosses) {
    ForgetOldest();
  }
}

void
LostRunnerCounts::Retract(const UpstreamId& aUpstream,
                          const protocol::LostRuns& aLost)
{
  std::set<std::pair<Task, Runner>> retracted;
  for (const auto& run : aLost.runs) {
    retracted.insert(
      { { run.job, run.task }, { aUpstream, run.runnerStartedMs } });
  }
  std::erase_if(losses_, [&](const Loss& aLoss) {
    bool isRetracted = retracted.contains({ aLoss.task, aLoss.runner });
    if (isRetracted) {
      EraseRecord(aLoss.task, aLoss.runner);
    }
    return isRetracted;
  });
}

std::size_t
LostRunnerCounts::Blames(const Record& aRecord)
{
  return static_cast<std::size_t>(
    std::count_if(aRecord.begin(), aRecord.end(), [](const auto& aItem) {
      return aItem.second.isBlamed;
    }));
}

bool
LostRunnerCounts::IsOverLimit(const Record& aRecord)
{
  bool wasBlamedAlone =
    std::any_of(aRecord.begin(), aRecord.end(), [](const auto& aItem) {
      return aItem.second.isBlamedAlone;
    });
  return (wasBlamedAlone && Blames(aRecord) >= kMaxBlames) ||
         aRecord.size() >= kMaxLostRunners;
}

bool
LostRunnerCounts::HasEnoughCrashes(const Record& aRecord)
{
  auto crashes =
    std::count_if(aRecord.begin(), aRecord.end(), [](const auto& aItem) {
      return aItem.second.isConfirmed;
    });
  return crashes >= kMinCrashes;
}

bool
LostRunnerCounts::IsGivenUp(const SubmissionId& aJob, std::uint32_t aTask) const
{
  const auto* record = Find(aJob, aTask);
  return record && IsOverLimit(*record) && HasEnoughCrashes(*record);
}

bool
LostRunnerCounts::IsHeld(const SubmissionId& aJob, std::uint32_t aTask) const
{
  const auto* record = Find(aJob, aTask);
  return record && IsOverLimit(*record) && !HasEnoughCrashes(*record);
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
  auto oldest = std::move(losses_.front());
  losses_.pop_front();
  EraseRecord(oldest.task, oldest.runner);
}

void
LostRunnerCounts::EraseRecord(const Task& aTask, const Runner& aRunner)
{
  auto& tasks = records_.at(aTask.first);
  auto& record = tasks.at(aTask.second);
  record.erase(aRunner);
  if (record.empty()) {
    tasks.erase(aTask.second);
  }
  if (tasks.empty()) {
    records_.erase(aTask.first);
  }
}

}
