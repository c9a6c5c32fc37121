#include "Tests/Soak/InvariantChecks.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <set>

namespace vanillaworks::system {

namespace {
constexpr long kOk = 200;
constexpr long kUnavailable = 503;
constexpr const char* kCompleted = R"({"state":"completed"})";
constexpr const char* kFailed = R"({"state":"failed"})";
}

std::vector<std::string>
CheckRuns(const std::vector<RunRecord>& aRuns)
{
  std::vector<std::string> violations;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<RunRecord>> runs;
  for (const auto& run : aRuns) {
    if (run.startedAt == 0) {
      violations.push_back(
        "the running tasks of a runner exceeded its capacity");
      continue;
    }
    runs[{ run.job, run.task }].push_back(run);
  }
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.startedAt < aTwo.startedAt;
    });
    for (std::size_t i = 1; i < list.size(); ++i) {
      bool isOverlapping =
        list[i - 1].endedAt == 0 || list[i].startedAt < list[i - 1].endedAt;
      if (isOverlapping) {
        violations.push_back(
          fmt::format("job {}: task {} ran twice at the same time",
                      task.first,
                      task.second));
      }
    }
  }
  return violations;
}

std::vector<std::string>
CheckNoStartIntervals(const std::vector<RunRecord>& aRuns,
                      const std::vector<NoStartInterval>& aIntervals)
{
  std::vector<std::string> violations;
  for (const auto& run : aRuns) {
    bool isInInterval = std::any_of(
      aIntervals.begin(), aIntervals.end(), [&run](const auto& aInterval) {
        bool applies = aInterval.domain.empty()
                         ? aInterval.worker == run.worker
                         : aInterval.domain == run.domain;
        return applies && run.startedAt > aInterval.from &&
               run.startedAt < aInterval.to;
      });
    if (isInInterval) {
      violations.push_back(
        "a task started in a closed domain or on a draining worker, job " +
        run.job);
    }
  }
  return violations;
}

std::vector<std::string>
CheckCrashingTasks(const std::vector<RunRecord>& aRuns)
{
  constexpr std::size_t kMaxCrashes = 3;
  constexpr std::ptrdiff_t kMaxLaterStarts = 2;
  using Task = std::pair<std::string, std::uint32_t>;
  std::map<Task, std::vector<std::int64_t>> crashes;
  for (const auto& run : aRuns) {
    if (run.crashedRunner) {
      crashes[{ run.job, run.task }].push_back(run.endedAt);
    }
  }
  std::vector<std::string> violations;
  for (auto& crashesOfTask : crashes) {
    const auto& task = crashesOfTask.first;
    auto& times = crashesOfTask.second;
    if (times.size() < kMaxCrashes) {
      continue;
    }
    std::sort(times.begin(), times.end());
    auto laterStarts =
      std::count_if(aRuns.begin(), aRuns.end(), [&](const auto& aRun) {
        return Task(aRun.job, aRun.task) == task &&
               aRun.startedAt > times[kMaxCrashes - 1];
      });
    if (laterStarts > kMaxLaterStarts) {
      violations.push_back(
        fmt::format("job {}: task {} was started {} times after {} runners had "
                    "crashed under it",
                    task.first,
                    task.second,
                    laterStarts,
                    kMaxCrashes));
    }
  }
  return violations;
}

std::vector<std::string>
CheckAnswers(const std::vector<RunRecord>& aRuns,
             const std::vector<CallerRecord>& aCallers)
{
  std::set<std::string> started;
  std::set<std::pair<std::string, std::uint32_t>> endedTasks;
  for (const auto& run : aRuns) {
    started.insert(run.job);
    if (run.endedAt != 0) {
      endedTasks.insert({ run.job, run.task });
    }
  }
  std::vector<std::string> violations;
  for (const auto& caller : aCallers) {
    const auto& answer = caller.answer;
    bool hasKnownBody = answer.body == kCompleted || answer.body == kFailed;
    if (answer.status == kOk && !hasKnownBody) {
      violations.push_back(
        "an answer with status 200 is neither completed nor failed: " +
        answer.body);
    }
    bool isRejected = answer.status == kUnavailable && answer.attempts == 1;
    if (isRejected && started.contains(caller.job)) {
      violations.push_back("rejected as not run, but a task started, job " +
                           caller.job);
    }
    bool isCompleted = answer.status == kOk && answer.body == kCompleted;
    for (std::uint32_t i = 0; isCompleted && i < caller.tasks; ++i) {
      if (!endedTasks.contains({ caller.job, i })) {
        violations.push_back(fmt::format(
          "job {}: answered as completed, but task {} has not ended",
          caller.job,
          i));
      }
    }
  }
  return violations;
}

}
