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

}
