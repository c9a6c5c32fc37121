#include "Tests/Soak/RecordJudge.h"

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
JudgeRuns(const std::vector<RunRecord>& aRuns)
{
  std::vector<std::string> broken;
  std::map<std::pair<std::string, std::uint32_t>, std::vector<RunRecord>> runs;
  for (const auto& run : aRuns) {
    if (run.began == 0) {
      broken.push_back("a runner was over its room");
      continue;
    }
    runs[{ run.job, run.task }].push_back(run);
  }
  for (auto& [task, list] : runs) {
    std::sort(list.begin(), list.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.began < aTwo.began;
    });
    for (std::size_t i = 1; i < list.size(); ++i) {
      bool overlaps =
        list[i - 1].ended == 0 || list[i].began < list[i - 1].ended;
      if (overlaps) {
        broken.push_back(
          fmt::format("{} task {} ran twice at once", task.first, task.second));
      }
    }
  }
  return broken;
}

std::vector<std::string>
JudgeQuiet(const std::vector<RunRecord>& aRuns,
           const std::vector<QuietTime>& aTimes)
{
  std::vector<std::string> broken;
  for (const auto& run : aRuns) {
    bool isForbidden =
      std::any_of(aTimes.begin(), aTimes.end(), [&run](const auto& aTime) {
        bool isMeant = aTime.domain.empty() ? aTime.worker == run.worker
                                            : aTime.domain == run.domain;
        return isMeant && run.began > aTime.from && run.began < aTime.to;
      });
    if (isForbidden) {
      broken.push_back("a start where operators said stop: " + run.job);
    }
  }
  return broken;
}

std::vector<std::string>
JudgeAnswers(const std::vector<RunRecord>& aRuns,
             const std::vector<CallerRecord>& aCallers)
{
  std::set<std::string> started;
  std::set<std::pair<std::string, std::uint32_t>> ended;
  for (const auto& run : aRuns) {
    started.insert(run.job);
    if (run.ended != 0) {
      ended.insert({ run.job, run.task });
    }
  }
  std::vector<std::string> broken;
  for (const auto& caller : aCallers) {
    const auto& answer = caller.answer;
    bool isWhole = answer.body == kCompleted || answer.body == kFailed;
    if (answer.status == kOk && !isWhole) {
      broken.push_back("an answer is not whole: " + answer.body);
    }
    bool isRejected = answer.status == kUnavailable && answer.tries == 1;
    if (isRejected && started.contains(caller.job)) {
      broken.push_back("rejected as not run, but it ran: " + caller.job);
    }
    bool isCompleted = answer.status == kOk && answer.body == kCompleted;
    for (std::uint32_t i = 0; isCompleted && i < caller.tasks; ++i) {
      if (!ended.contains({ caller.job, i })) {
        broken.push_back(fmt::format("{} task {} never ended", caller.job, i));
      }
    }
  }
  return broken;
}

}
