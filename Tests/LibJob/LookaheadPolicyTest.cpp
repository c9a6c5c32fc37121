#include "LibJob/LookaheadPolicy.h"
#include "LibJob/FirstFitPolicy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
constexpr std::int64_t kCore = 1000;
constexpr std::int64_t kMemory = 100'000;

PlannedRun
MakeRun(std::int64_t aCores, std::int64_t aMs)
{
  return { { aCores * kCore, 1, 0 }, Milliseconds(aMs) };
}

/** A runner of 8 cores whose tasks end after their expected time. */
struct Runner
{
  explicit Runner(const StartPolicy& aPolicy)
    : policy(aPolicy)
  {
  }

  RunnerLoad Load() const
  {
    RunnerLoad load{ { 8 * kCore, kMemory, 0 }, {}, {} };
    for (const auto& run : active) {
      load.free -= run.demand;
    }
    load.active = active;
    load.queue = queue;
    return load;
  }
  /** Starts what the policy chooses, then lets 10 ms pass. */
  void Step()
  {
    constexpr Milliseconds kStep{ 10 };
    auto load = Load();
    auto chosen = policy.RunsToStart(load);
    std::set<std::size_t> started(chosen.begin(), chosen.end());
    queue.clear();
    for (std::size_t i = 0; i < load.queue.size(); ++i) {
      const auto& run = load.queue[i];
      if (!started.contains(i)) {
        queue.push_back(run);
        continue;
      }
      active.push_back(run);
      largestStarted = std::max(largestStarted, run.demand.cpu / kCore);
    }
    for (auto& run : active) {
      run.time -= kStep;
    }
    std::erase_if(
      active, [](const PlannedRun& aRun) { return aRun.time.count() <= 0; });
  }

  const StartPolicy& policy;
  std::vector<PlannedRun> active;
  std::vector<PlannedRun> queue;
  std::int64_t largestStarted = 0;
};

/** Whether a task of 6 cores starts within 2 s of a load of small tasks. */
bool
StartsLargeTaskAmongSmallOnes(const StartPolicy& aPolicy)
{
  Runner runner(aPolicy);
  // Ends that are spread over time never free 6 cores at once.
  for (std::int64_t i = 0; i < 8; ++i) {
    runner.active.push_back(MakeRun(1, 10 + 10 * i));
  }
  runner.queue.push_back(MakeRun(6, 100));
  for (int step = 0; step < 200; ++step) {
    runner.queue.push_back(MakeRun(1, 80));
    runner.Step();
  }
  return runner.largestStarted == 6;
}
}

// Small tasks took every gap, so that a large one waited until its caller's
// deadline.
TEST_CASE("a large task starts although small ones arrive all the time")
{
  CHECK(StartsLargeTaskAmongSmallOnes(LookaheadPolicy()));
  CHECK_FALSE(StartsLargeTaskAmongSmallOnes(FirstFitPolicy()));
}

TEST_CASE("a small task fills the gap before a large one if it ends in time")
{
  LookaheadPolicy policy;
  Runner runner(policy);
  runner.active = { MakeRun(6, 100) };
  runner.queue = { MakeRun(4, 100), MakeRun(1, 100), MakeRun(1, 120) };
  // From 100 ms on, the large task leaves 4 cores to others.
  SECTION("two small tasks leave enough for the large one")
  {
    CHECK(policy.RunsToStart(runner.Load()) ==
          std::vector<std::size_t>{ 1, 2 });
  }
  SECTION("a task that ends too late and needs the reserved cores waits")
  {
    runner.queue = { MakeRun(7, 100), MakeRun(2, 101) };
    CHECK(policy.RunsToStart(runner.Load()).empty());
  }
  SECTION("a task of the same size that ends in time starts")
  {
    runner.queue = { MakeRun(7, 100), MakeRun(2, 100) };
    CHECK(policy.RunsToStart(runner.Load()) == std::vector<std::size_t>{ 1 });
  }
}

TEST_CASE("no plan starts more than fits, and an idle runner starts something")
{
  CHECK(rc::check([]() {
    auto run = [] {
      return MakeRun(*rc::gen::inRange<std::int64_t>(1, 9),
                     *rc::gen::inRange<std::int64_t>(1, 900));
    };
    LookaheadPolicy policy;
    Runner runner(policy);
    auto queued = *rc::gen::inRange(0, 20);
    for (int i = 0; i < queued; ++i) {
      runner.queue.push_back(run());
    }
    auto load = runner.Load();
    auto left = load.free;
    for (auto index : policy.RunsToStart(load)) {
      RC_ASSERT(left.Fits(load.queue[index].demand));
      left -= load.queue[index].demand;
    }
    RC_ASSERT(queued == 0 || left.cpu < load.free.cpu);
  }));
}
