#include "Tests/LibJob/SimulatedJobCluster.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::tests;

namespace {
const std::vector<std::string> kNoViolations;

JobClusterOptions
SixteenAgents(std::uint64_t aSeed)
{
  JobClusterOptions options;
  options.seed = aSeed;
  options.agents = 16;
  return options;
}

/** Submits a job whose first task crashes each runner, with a late deadline. */
std::string
SubmitCrashingJob(SimulatedJobCluster& aCluster)
{
  JobLoad load{ 2, Milliseconds(300) };
  load.callerTimeout = Milliseconds(25'000);
  auto job = aCluster.Submit(load);
  aCluster.crashesRunner = [job](const job::RunKey& aKey) {
    return aKey.job.Value() == job && aKey.task.index == 0;
  };
  return job;
}

void
SubmitOthers(SimulatedJobCluster& aCluster, Milliseconds aFor)
{
  JobLoad load;
  load.callerTimeout = Milliseconds(10'000);
  for (Milliseconds at{ 0 }; at < aFor; at += Milliseconds(25)) {
    aCluster.Schedule(at, [&aCluster, load] { aCluster.Submit(load); });
  }
}
}

TEST_CASE("a task that crashes its runners is given up before a fourth one")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedJobCluster cluster(SixteenAgents(seed));
    SubmitOthers(cluster, Milliseconds(6000));
    cluster.Run(Milliseconds(500));
    auto job = SubmitCrashingJob(cluster);
    cluster.Run(Milliseconds(30'000));
    CHECK(cluster.Violations() == kNoViolations);
    CHECK(cluster.CrashesUnder(job) <= 3);
    CHECK(cluster.Outcomes().at(job).state == job::JobState::Failed);
    CHECK(cluster.Outcomes().at(job).elapsed < Milliseconds(6000));
  }
}

TEST_CASE("an innocent task that was lost beside one that crashes its runners "
          "is not given up")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedJobCluster cluster(SixteenAgents(seed));
    SubmitOthers(cluster, Milliseconds(6000));
    cluster.Run(Milliseconds(500));
    SubmitCrashingJob(cluster);
    cluster.Run(Milliseconds(30'000));
    CHECK(cluster.Count(job::JobState::Failed) == 1);
    CHECK(cluster.Count(job::JobState::Completed) == 240);
  }
}

TEST_CASE("entries that are lost don't let a task crash more runners")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedJobCluster cluster(SixteenAgents(seed));
    cluster.Run(Milliseconds(500));
    auto job = SubmitCrashingJob(cluster);
    for (std::size_t lost = 0; lost < 6; ++lost) {
      auto seen = cluster.CrashesUnder(job);
      for (int step = 0; step < 600 && cluster.CrashesUnder(job) == seen;
           ++step) {
        cluster.Run(Milliseconds(10));
      }
      // The entry is lost once the agent has noticed the crash.
      cluster.Run(Milliseconds(1400));
      auto entry = cluster.EntryServing(job);
      if (entry >= 0) {
        cluster.KillEntry(entry, Milliseconds(1000));
      }
    }
    cluster.Run(Milliseconds(20'000));
    CHECK(cluster.Violations() == kNoViolations);
    CHECK(cluster.CrashesUnder(job) <= 4);
  }
}

TEST_CASE("a task isn't answered as failed because its runners fell silent")
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    SimulatedJobCluster cluster(SixteenAgents(seed));
    JobLoad lengthy{ 4, Milliseconds(900) };
    lengthy.callerTimeout = Milliseconds(20'000);
    for (int at = 0; at < 6000; at += 100) {
      cluster.Schedule(Milliseconds(at),
                       [&cluster, lengthy] { cluster.Submit(lengthy); });
    }
    // Each runner is silent for 1.5 s, by turns, and goes on as it was.
    for (int i = 0; i < 80; ++i) {
      cluster.SilenceRunner(i % 16, Milliseconds(1500));
      cluster.Run(Milliseconds(150));
    }
    cluster.Run(Milliseconds(25'000));
    CHECK(cluster.Count(job::JobState::Failed) == 0);
  }
}
