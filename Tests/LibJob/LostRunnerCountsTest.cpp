#include "LibJob/LostRunnerCounts.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
const SubmissionId kBad("00000000000000bb");
const SubmissionId kGood("00000000000000aa");

/** The runner of agent aAgent is lost with the first task of each of aJobs. */
void
Lose(LostRunnerCounts& aCounts,
     int aAgent,
     const std::vector<SubmissionId>& aJobs,
     MonotonicTime aNow = kNow,
     protocol::LossState aState = protocol::LossState::Confirmed)
{
  protocol::LostRuns lost;
  lost.state = aState;
  for (const auto& job : aJobs) {
    lost.runs.push_back({ job, 0, 1'700'000'000'000 });
  }
  aCounts.Add(UpstreamId(std::to_string(aAgent)), lost, aNow);
}
}

TEST_CASE("a task is given up once three runners were lost under it alone")
{
  LostRunnerCounts counts;
  CHECK_FALSE(counts.IsSuspect(kBad, 0));
  Lose(counts, 1, { kBad });
  Lose(counts, 2, { kBad });
  CHECK(counts.IsSuspect(kBad, 0));
  CHECK_FALSE(counts.IsGivenUp(kBad, 0));
  Lose(counts, 3, { kBad });
  CHECK(counts.IsGivenUp(kBad, 0));
  CHECK_FALSE(counts.IsGivenUp(kBad, 1));
}

TEST_CASE("a task that was lost beside one with more losses is not to blame")
{
  LostRunnerCounts counts;
  Lose(counts, 1, { kBad });
  Lose(counts, 2, { kBad, kGood });
  Lose(counts, 3, { kBad, kGood });
  CHECK(counts.IsGivenUp(kBad, 0));
  CHECK_FALSE(counts.IsGivenUp(kGood, 0));
  Lose(counts, 4, { kGood });
  CHECK_FALSE(counts.IsGivenUp(kGood, 0));
}

TEST_CASE("tasks that are always lost together are given up after four runners")
{
  LostRunnerCounts counts;
  for (int agent = 1; agent <= 3; ++agent) {
    Lose(counts, agent, { kBad, kGood });
    CHECK_FALSE(counts.IsGivenUp(kBad, 0));
  }
  Lose(counts, 4, { kBad, kGood });
  CHECK(counts.IsGivenUp(kBad, 0));
  CHECK(counts.IsGivenUp(kGood, 0));
}

TEST_CASE("a task isn't given up while its runners may just be silent")
{
  constexpr auto kSuspected = protocol::LossState::Suspected;
  LostRunnerCounts counts;
  for (int agent = 1; agent <= 3; ++agent) {
    CHECK_FALSE(counts.IsHeld(kBad, 0));
    Lose(counts, agent, { kBad }, kNow, kSuspected);
  }
  CHECK(counts.IsHeld(kBad, 0));
  CHECK_FALSE(counts.IsGivenUp(kBad, 0));
  SECTION("given up once two of them have crashed")
  {
    Lose(counts, 1, { kBad });
    CHECK(counts.IsHeld(kBad, 0));
    Lose(counts, 2, { kBad });
    CHECK(counts.IsGivenUp(kBad, 0));
    CHECK_FALSE(counts.IsHeld(kBad, 0));
  }
  SECTION("goes on once one of them is back")
  {
    Lose(counts, 3, { kBad }, kNow, protocol::LossState::Retracted);
    CHECK_FALSE(counts.IsHeld(kBad, 0));
    CHECK(counts.IsSuspect(kBad, 0));
    counts.OnTick(kNow + std::chrono::seconds(60));
    CHECK_FALSE(counts.IsSuspect(kBad, 0));
  }
}

TEST_CASE("a loss that is announced again counts once")
{
  LostRunnerCounts counts;
  for (int times = 0; times < 5; ++times) {
    Lose(counts, 1, { kBad });
  }
  CHECK_FALSE(counts.IsGivenUp(kBad, 0));
}

TEST_CASE("a loss is forgotten after a minute")
{
  LostRunnerCounts counts;
  Lose(counts, 1, { kBad });
  counts.OnTick(kNow + std::chrono::seconds(59));
  CHECK(counts.IsSuspect(kBad, 0));
  counts.OnTick(kNow + std::chrono::seconds(60));
  CHECK_FALSE(counts.IsSuspect(kBad, 0));
}

TEST_CASE("a loss that one message names twice is forgotten once")
{
  LostRunnerCounts counts;
  Lose(counts, 1, { kBad, kBad });
  counts.OnTick(kNow + std::chrono::seconds(60));
  CHECK_FALSE(counts.IsSuspect(kBad, 0));
}
