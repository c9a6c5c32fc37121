#include "Tests/LibJob/SimulatedJobCluster.h"

#include <catch2/catch.hpp>
#include <random>

using namespace vanillaworks;
using namespace vanillaworks::tests;

namespace {
const std::vector<std::string> kNoViolations;

/** Jobs of long tasks, while runners leave one after the other. */
class LeavingRunners
{
public:
  explicit LeavingRunners(std::uint64_t aSeed, double aLostCalls)
    : random_(aSeed)
    , cluster_(Options(aSeed, aLostCalls))
  {
    constexpr int kJobs = 18;
    constexpr Milliseconds kInterval{ 333 };
    JobLoad lengthy{ 4, Milliseconds(2500) };
    lengthy.callerTimeout = Milliseconds(15'000);
    for (int i = 0; i < kJobs; ++i) {
      cluster_.Schedule(kInterval * i,
                        [this, lengthy] { cluster_.Submit(lengthy); });
    }
    cluster_.Run(Milliseconds(1000));
  }

  /** aAnswered: share of the announcements whose answer arrives. */
  void LeaveInTurn(double aAnswered)
  {
    constexpr int kDepartures = 8;
    for (int i = 0; i < kDepartures; ++i) {
      cluster_.Run(Milliseconds(random_() % 900));
      bool isAnswered = std::uniform_real_distribution<>()(random_) < aAnswered;
      auto stays = Milliseconds(isAnswered ? 0 : 500 + random_() % 2500);
      cluster_.LeaveRunner(static_cast<int>(random_() % 6), stays);
    }
  }
  void End() { cluster_.Run(Milliseconds(20'000)); }
  SimulatedJobCluster& Cluster() { return cluster_; }
  std::mt19937_64& Random() { return random_; }

private:
  static JobClusterOptions Options(std::uint64_t aSeed, double aLostCalls)
  {
    JobClusterOptions options;
    options.seed = aSeed;
    options.runnerClockRate = 0.98;
    options.lostCalls = aLostCalls;
    options.lateStopsAndHolds = 0.5;
    return options;
  }

  std::mt19937_64 random_;
  SimulatedJobCluster cluster_;
};
}

// The announcement was taken for the end of all runs there.
TEST_CASE("a runner whose announcement gets no answer runs no task beside "
          "another runner")
{
  constexpr std::uint64_t kHistories = VANILLAWORKS_PROPERTY_RUNS;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    INFO("seed " << seed);
    LeavingRunners history(seed, 0.05 * static_cast<double>(seed % 5));
    history.LeaveInTurn(0.5);
    history.End();
    CHECK(history.Cluster().Violations() == kNoViolations);
    CHECK(history.Cluster().Count(job::JobState::Failed) == 0);
  }
}

TEST_CASE("runners that leave while agents are killed and frozen run no task "
          "beside another runner")
{
  constexpr std::uint64_t kHistories = VANILLAWORKS_PROPERTY_RUNS;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    INFO("seed " << seed);
    LeavingRunners history(seed, 0.05 * static_cast<double>(seed % 3));
    auto& cluster = history.Cluster();
    for (int i = 0; i < 10; ++i) {
      auto& random = history.Random();
      auto agent = static_cast<int>(random() % 6);
      bool isKilled = random() % 2 == 0;
      auto frozen = Milliseconds(100 + random() % 2500);
      cluster.Schedule(Milliseconds(random() % 5000),
                       [&cluster, agent, isKilled, frozen] {
                         if (isKilled) {
                           cluster.KillAgent(agent);
                         } else {
                           cluster.FreezeAgent(agent, frozen);
                         }
                       });
    }
    history.LeaveInTurn(0.5);
    history.End();
    CHECK(cluster.Violations() == kNoViolations);
  }
}

TEST_CASE("tasks of runners that leave soundly are placed again without delay")
{
  constexpr std::uint64_t kHistories = 20;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    INFO("seed " << seed);
    LeavingRunners history(seed, 0);
    history.LeaveInTurn(1);
    history.End();
    CHECK(history.Cluster().Violations() == kNoViolations);
    CHECK(history.Cluster().Count(job::JobState::Completed) == 18);
  }
}
