#include "review/Checks.h"

#include "review/Deployment.h"

#include <algorithm>
#include <cstdio>

namespace review {

int
CountDoubleRuns(const std::vector<RunRecord>& aRuns, Record& aRecord)
{
  int breaks = 0;
  auto now = NowMs();
  auto endOf = [now](const RunRecord& aRun) {
    return aRun.endedMs == 0 ? now : aRun.endedMs;
  };
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    for (std::size_t j = i + 1; j < aRuns.size(); ++j) {
      const auto& one = aRuns[i];
      const auto& other = aRuns[j];
      auto from = std::max(one.startedMs, other.startedMs);
      auto to = std::min(endOf(one), endOf(other));
      if (one.task != other.task || from >= to) {
        continue;
      }
      ++breaks;
      aRecord.Write("two runs of " + one.task + " at work from " +
                    std::to_string(from) + " to " + std::to_string(to) +
                    " ms: run " + std::to_string(one.run) + " on " +
                    one.runner + ", run " + std::to_string(other.run) + " on " +
                    other.runner);
    }
  }
  return breaks;
}

int
Report(int aBreaks, Record& aRecord)
{
  auto line = aBreaks == 0
                ? std::string("the rule held")
                : "the rule was broken " + std::to_string(aBreaks) + " times";
  aRecord.Write(line);
  std::printf("%s\n", line.c_str());
  return aBreaks == 0 ? kRuleHeld : kRuleBroken;
}

}
