#include "Tests/LibJob/SimulatedJobCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::tests;

namespace {
std::vector<std::string>
FalseRejections(const SimulatedJobCluster& aCluster)
{
  std::vector<std::string> found;
  std::copy_if(
    aCluster.Violations().begin(),
    aCluster.Violations().end(),
    std::back_inserter(found),
    [](const auto& aText) { return aText.find("reject") != aText.npos; });
  return found;
}

/** Half of all starts are carried out seconds later, and runners crash. */
void
PlayLateStartsAndCrashes(int aAgents, std::uint64_t aSeed)
{
  INFO("agents " << aAgents << ", seed " << aSeed);
  JobClusterOptions options;
  options.seed = aSeed;
  options.agents = aAgents;
  options.lostCalls = 0.5;
  options.lateCalls = 1;
  SimulatedJobCluster cluster(options);
  for (int at = 0; at < 6000; at += 60) {
    cluster.Schedule(Milliseconds(at), [&cluster] {
      cluster.Submit({ 2, Milliseconds(100) });
    });
  }
  for (int i = 0; i < 12; ++i) {
    cluster.Run(Milliseconds(700));
    cluster.CrashRunner((static_cast<int>(aSeed) + i) % aAgents);
  }
  cluster.Run(Milliseconds(12'000));
  CHECK(FalseRejections(cluster).empty());
}
}

TEST_CASE("a refused job doesn't start in a runner's next life")
{
  constexpr std::uint64_t kHistories = VANILLAWORKS_PROPERTY_RUNS;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    PlayLateStartsAndCrashes(2, seed);
    PlayLateStartsAndCrashes(3, seed);
  }
}
