#include "LibJob/FirstFitPolicy.h"

namespace vanillaworks::job {

std::vector<std::size_t>
FirstFitPolicy::RunsToStart(const RunnerLoad& aLoad) const
{
  std::vector<std::size_t> started;
  auto free = aLoad.free;
  for (std::size_t i = 0; i < aLoad.queue.size(); ++i) {
    const auto& run = aLoad.queue[i];
    if (free.Fits(run.demand)) {
      free -= run.demand;
      started.push_back(i);
    }
  }
  return started;
}

std::int64_t
FirstFitPolicy::CpuNeededBefore(const RunnerLoad& aLoad,
                                std::size_t aIndex) const
{
  std::int64_t needed = 0;
  for (std::size_t i = 0; i <= aIndex; ++i) {
    needed += aLoad.queue[i].demand.cpu;
  }
  return needed;
}

}
