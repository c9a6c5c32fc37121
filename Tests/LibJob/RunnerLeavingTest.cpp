#include "Tests/LibJob/RunSupervisorFixture.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;
using protocol::RunOutcome;

namespace {
/** A supervisor with one confirmed run, whose runner can leave. */
struct LeavingRunner : RunSupervisorFixture
{
  LeavingRunner()
  {
    StartRun();
    AdvanceTime(Milliseconds(30));
  }
  AnnouncementAnswer Leave()
  {
    return supervisor.OnRunnerLeaving("r1", {}, now);
  }
  void AcceptStop()
  {
    supervisor.OnStopAnswered(Key(0), token, StopResult::Accepted, now);
  }
  /** The runner lists the end of the run, and the agent acknowledges it. */
  void ListEnd(EndKind aKind)
  {
    AnswerHold(Answer({}, { { 1, Key(0), aKind } }));
    if (!holds.empty()) {
      AnswerHold(Answer());
    }
  }
  /** Lets time pass while the entry is well and the runner is silent. */
  void WaitInSilence(Milliseconds aTime)
  {
    Pass(aTime, [this] { FailCalls(); });
  }
  void FailCalls()
  {
    auto unanswered = std::move(holds);
    holds.clear();
    for (const auto& hold : unanswered) {
      supervisor.OnHoldAnswered(hold.first, {}, now);
    }
    auto failedStops = std::move(stops);
    stops.clear();
    for (const auto& stop : failedStops) {
      supervisor.OnStopAnswered(
        stop.key, stop.target.token, StopResult::Unknown, now);
    }
  }
};
}

// The announcement was taken for the end of all runs, so that their tasks ran
// on two workers if its answer was lost.
TEST_CASE("a run on a leaving runner ends when the runner lists its end")
{
  LeavingRunner runner;
  CHECK(runner.Leave() == AnnouncementAnswer::WhenReleased);
  CHECK(runner.ends.empty());
  CHECK(runner.released.empty());
  CHECK(runner.stops.size() == 1);
  CHECK_FALSE(runner.supervisor.Status(kEntry, runner.now).accepting);
  SECTION("stopped")
  {
    runner.AcceptStop();
    CHECK(runner.ends.empty());
    runner.ListEnd(EndKind::Stopped);
    CHECK(runner.ends == std::vector{ RunOutcome::Stopped });
    CHECK(runner.events.back().stopReason == StopReason::RunnerLeaving);
  }
  SECTION("done before the stop arrived")
  {
    runner.ListEnd(EndKind::Done);
    CHECK(runner.ends == std::vector{ RunOutcome::Done });
  }
  REQUIRE(runner.released.size() == 1);
  CHECK(runner.released[0].runner == "r1");
  CHECK(runner.released[0].runsAnnounced == 1);
  CHECK(runner.released[0].runsLeft == 0);
}

TEST_CASE("a leaving runner that is idle or unknown is answered at once")
{
  RunSupervisorFixture fixture;
  fixture.Adopt();
  SECTION("idle")
  {
    CHECK(fixture.supervisor.OnRunnerLeaving("r1", {}, fixture.now) ==
          AnnouncementAnswer::Now);
    CHECK_FALSE(fixture.StartsNewTask());
  }
  SECTION("unknown")
  {
    CHECK(fixture.supervisor.OnRunnerLeaving("r0", {}, fixture.now) ==
          AnnouncementAnswer::Now);
    CHECK(fixture.StartsNewTask());
  }
}

TEST_CASE("a leaving runner that answers no calls is answered in time")
{
  LeavingRunner runner;
  runner.Leave();
  runner.WaitInSilence(Milliseconds(750));
  REQUIRE(runner.released.size() == 1);
  CHECK(runner.released[0].runsLeft == 1);
  CHECK(runner.released[0].waited < Milliseconds(1000));
  CHECK(runner.ends.empty());
  SECTION("its run ends with the lease and counts as no loss")
  {
    runner.WaitInSilence(RunSupervisorLimits{}.grantedLease * 2);
    REQUIRE(runner.events.size() == 1);
    CHECK(runner.events[0].evidence == EndEvidence::LeaseExpired);
    CHECK(runner.ends == std::vector{ RunOutcome::Stopped });
    CHECK(runner.released.size() == 1);
  }
  SECTION("another incarnation takes its place")
  {
    runner.startedMs += 5000;
    runner.sequence = 0;
    runner.Adopt();
    REQUIRE(runner.events.size() == 1);
    CHECK(runner.events[0].evidence == EndEvidence::RunnerLeft);
    CHECK(runner.ends == std::vector{ RunOutcome::Stopped });
    CHECK(runner.StartsNewTask());
  }
}

TEST_CASE("the lease of a leaving runner's runs is not extended")
{
  LeavingRunner runner;
  runner.AnswerHold(runner.Answer({ { runner.Key(0), 10 } }));
  REQUIRE(runner.holds.size() == 1);
  CHECK(runner.holds[0].second.leaseUntilMs > 0);
  runner.Leave();
  runner.AnswerHold(runner.Answer({ { runner.Key(0), 20 } }));
  REQUIRE(runner.holds.size() == 1);
  CHECK(runner.holds[0].second.leaseUntilMs == 0);
}

TEST_CASE("a leaving runner is answered when its next incarnation is adopted")
{
  LeavingRunner runner;
  runner.Leave();
  runner.startedMs += 5000;
  runner.sequence = 0;
  runner.Adopt();
  REQUIRE(runner.released.size() == 1);
  CHECK(runner.released[0].runner == "r1");
}

TEST_CASE("what a runner reported before it left starts nothing afterwards")
{
  RunSupervisorFixture fixture;
  auto delayed = fixture.Report();
  fixture.Adopt();
  fixture.supervisor.OnRunnerLeaving("r1", {}, fixture.now);
  SECTION("a delayed report")
  {
    fixture.supervisor.OnRunnerReport(delayed, fixture.now);
  }
  SECTION("a report on the way out")
  {
    fixture.supervisor.OnRunnerReport(fixture.Report(RunnerState::Draining),
                                      fixture.now);
  }
  fixture.AdvanceTime(Milliseconds(50));
  fixture.supervisor.OnTick(fixture.now);
  CHECK_FALSE(fixture.StartsNewTask());
  CHECK(fixture.ends == std::vector{ RunOutcome::Leaving });
}

TEST_CASE("a runner that reports to be ready after it left is used again")
{
  // The announcement was that of an earlier incarnation.
  LeavingRunner runner;
  runner.Leave();
  runner.AcceptStop();
  runner.ListEnd(EndKind::Stopped);
  runner.AdvanceTime(Milliseconds(1500));
  runner.supervisor.OnRevalidated(kEntry, runner.now);
  runner.supervisor.OnRunnerReport(runner.Report(), runner.now);
  CHECK(runner.StartsNewTask());
}

TEST_CASE("an agent does not stop before its leaving runner was answered")
{
  LeavingRunner runner;
  runner.Leave();
  runner.supervisor.BeginStop(runner.now);
  runner.AcceptStop();
  runner.AnswerHold(
    runner.Answer({}, { { 1, runner.Key(0), EndKind::Stopped } }));
  REQUIRE(runner.released.empty());
  CHECK_FALSE(runner.supervisor.IsIdle());
  runner.AnswerHold(runner.Answer());
  CHECK(runner.released.size() == 1);
  CHECK(runner.supervisor.IsIdle());
}

// A late announcement stopped the runs of the next incarnation.
TEST_CASE("an earlier incarnation's announcement to leave changes nothing")
{
  LeavingRunner runner;
  auto answer = runner.supervisor.OnRunnerLeaving(
    "r1", runner.startedMs - 5000, runner.now);
  CHECK(answer == AnnouncementAnswer::Now);
  CHECK(runner.stops.empty());
  CHECK(runner.StartsNewTask());
}
