#include "Tests/LibJob/RunSupervisorFixture.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;

namespace {
using Fixture = RunSupervisorFixture;

/** A supervisor with one confirmed run. */
struct ActiveRun : Fixture
{
  ActiveRun()
  {
    StartRun();
    AdvanceTime(Milliseconds(30));
  }
};

void
CancelRun(ActiveRun& aRun)
{
  aRun.supervisor.OnCancel(
    kEntry, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, aRun.now);
}
}

TEST_CASE("the end of a run tells a stop on request from a lapse and a crash")
{
  ActiveRun run;
  SECTION("stopped on request")
  {
    CancelRun(run);
    run.AdvanceTime(Milliseconds(20));
    run.AnswerHold(run.Answer({}, { { 1, run.Key(0), EndKind::Stopped } }));
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::ListedStopped);
    CHECK(run.events[0].stopReason == StopReason::Cancelled);
    CHECK(run.events[0].sinceStop == Milliseconds(20));
    CHECK(run.events[0].sinceContact == Milliseconds(50));
  }
  SECTION("lapsed")
  {
    run.AnswerHold(run.Answer({}, { { 1, run.Key(0), EndKind::Lapsed } }));
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::ListedLapsed);
    CHECK(run.events[0].stopReason == StopReason::None);
  }
  SECTION("lost with its runner")
  {
    run.startedMs += 5000;
    run.sequence = 0;
    run.Adopt();
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::RunnerLost);
    CHECK(run.events[0].end.outcome == protocol::RunOutcome::RunnerLost);
  }
  SECTION("the runner has announced that it shuts down")
  {
    run.supervisor.OnRunnerLeaving("r1", {}, run.now);
    CHECK(run.events.empty());
    run.startedMs += 5000;
    run.sequence = 0;
    run.Adopt();
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::RunnerLeft);
    CHECK(run.events[0].end.outcome == protocol::RunOutcome::Stopped);
  }
  SECTION("not listed any more")
  {
    run.AnswerHold(run.Answer());
    run.AdvanceTime(Milliseconds(60));
    run.supervisor.OnTick(run.now);
    run.AnswerHold(run.Answer());
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::NotListed);
  }
  SECTION("not in a list that can't be read wholly")
  {
    run.AnswerHold(run.Answer());
    run.AdvanceTime(Milliseconds(60));
    run.supervisor.OnTick(run.now);
    auto answer = run.Answer();
    answer.isComplete = false;
    run.AnswerHold(answer);
    CHECK(run.events.empty());
  }
  SECTION("the agent was paused until the lease was over")
  {
    run.AdvanceTime(RunSupervisorLimits{}.lease * 2);
    run.supervisor.OnRevalidated(kEntry, run.now);
    run.supervisor.OnTick(run.now);
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::LeaseExpired);
    CHECK(run.events[0].end.outcome == protocol::RunOutcome::Stopped);
  }
  SECTION("the runner is silent until the lease is over")
  {
    HoldAnswer refused;
    refused.result = HoldResult::NotReached;
    while (run.events.empty() &&
           run.now < MonotonicTime(std::chrono::hours(2))) {
      if (!run.holds.empty()) {
        run.AnswerHold(refused);
      }
      run.AdvanceTime(Milliseconds(25));
      run.supervisor.OnRevalidated(kEntry, run.now);
      run.supervisor.OnTick(run.now);
    }
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::RunnerSilent);
    CHECK(run.events[0].end.outcome == protocol::RunOutcome::RunnerLost);
  }
}

TEST_CASE("a run that the agent doesn't await is told apart in the log")
{
  Fixture fixture;
  SECTION("left behind by a former process of the agent")
  {
    fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
    fixture.AnswerHold(fixture.Answer({ { fixture.Key(7), 10 } }));
    CHECK(fixture.unexpectedRuns == std::vector{ fixture.Key(7) });
  }
  SECTION("ended although its entry was told that it never started")
  {
    fixture.Adopt();
    fixture.Order(1);
    fixture.supervisor.OnStartAnswered(
      fixture.Key(0), fixture.token, StartResult::NoRoom, fixture.now);
    fixture.OrderFor(SubmissionId("00000000000000bb"), 1, 500, 0);
    fixture.AnswerHold(
      fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
    CHECK(fixture.unexpectedRuns == std::vector{ fixture.Key(0) });
  }
}

TEST_CASE("an order that has no run at the agent is logged with the reason")
{
  ActiveRun run;
  EntryId other("entry-2");
  SECTION("a run of the task for another entry is active")
  {
    run.supervisor.OnResume({ other, Incarnation(2), {} }, run.now);
    protocol::RunOrder order;
    order.job = kJob;
    order.tasks = { { 0, 1 } };
    run.supervisor.OnOrder(other, order, run.now);
    run.supervisor.OnCancel(
      other, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, run.now);
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].entry == other);
    CHECK(run.events[0].evidence == EndEvidence::OtherRunActive);
  }
  SECTION("it never came")
  {
    run.supervisor.OnResume(
      { kEntry, Incarnation(1), { { kJob, { { 0, 1 }, { 5, 1 } }, {} } } },
      run.now);
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].end.task.index == 5);
    CHECK(run.events[0].evidence == EndEvidence::NeverOrdered);
  }
  SECTION("the agent may have forgotten its end")
  {
    run.AdvanceTime(RunSupervisorLimits{}.endRetention);
    run.supervisor.OnResume(
      { kEntry, Incarnation(1), { { kJob, { { 0, 1 }, { 5, 1 } }, {} } } },
      run.now);
    REQUIRE(run.events.size() == 1);
    CHECK(run.events[0].evidence == EndEvidence::Forgotten);
  }
}
