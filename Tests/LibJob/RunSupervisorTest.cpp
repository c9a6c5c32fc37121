#include "Tests/LibJob/RunSupervisorFixture.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;

namespace {
using Fixture = RunSupervisorFixture;
}

using protocol::RunOutcome;

// An entry that wakes after a long freeze asks for runs whose ends the agent no
// longer keeps; they were reported as never started.
TEST_CASE("a run whose end may be forgotten is not reported as never started")
{
  auto outcomeAfter = [](Milliseconds aWithoutContact) {
    Fixture fixture;
    fixture.StartRun();
    fixture.AdvanceTime(Milliseconds(100));
    fixture.AnswerHold(
      fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
    REQUIRE(fixture.ends == std::vector<RunOutcome>{ RunOutcome::Done });
    fixture.ends.clear();
    fixture.AdvanceTime(aWithoutContact);
    fixture.supervisor.OnTick(fixture.now);
    fixture.supervisor.OnResume(
      { kEntry, Incarnation(1), { { kJob, { { 0, 1 } }, {} } } }, fixture.now);
    REQUIRE(fixture.ends.size() == 1);
    return fixture.ends.front();
  };
  CHECK(outcomeAfter(Milliseconds(1000)) == RunOutcome::Done);
  CHECK_FALSE(protocol::NeverStarted(outcomeAfter(std::chrono::seconds(7))));
}

TEST_CASE("an order that was lost with its link is reported as never started")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.AdvanceTime(Milliseconds(900));
  fixture.supervisor.OnResume(
    { kEntry, Incarnation(1), { { kJob, { { 0, 1 } }, {} } } }, fixture.now);
  CHECK(fixture.ends == std::vector<RunOutcome>{ RunOutcome::NotRevalidated });
}

TEST_CASE("runs that fit are started and the others queued")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(3);
  CHECK(fixture.starts.size() == 2);
  CHECK(fixture.supervisor.Queued() == 1);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Started, fixture.now);
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
  CHECK(fixture.starts.size() == 3);
  CHECK(fixture.ends == std::vector{ RunOutcome::Done });
}

TEST_CASE(
  "an order without a start allowance is returned at once if it doesn't fit")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(3, 0);
  CHECK(fixture.starts.size() == 2);
  CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
}

TEST_CASE("a run that can't be expected to start in time is returned at once")
{
  // Two runs of 100 ms are active, so that a third one starts after 100 ms, a
  // fifth one about 100 ms later.
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(2);
  REQUIRE(fixture.starts.size() == 2);
  const SubmissionId other("00000000000000bb");
  SECTION("if its time is shorter than the expected delay")
  {
    fixture.OrderFor(other, 1, 90, 0);
    CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
  }
  SECTION("if hardly any time is left for an error of the estimate")
  {
    fixture.OrderFor(other, 1, 110, 0);
    CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
  }
  SECTION("but it queues if it is expected to start well in time")
  {
    fixture.OrderFor(other, 1, 150, 0);
    CHECK(fixture.ends.empty());
    CHECK(fixture.supervisor.Queued() == 1);
  }
  SECTION("only runs that are as urgent or more count as ahead of it")
  {
    fixture.OrderFor(SubmissionId("00000000000000cc"), 4, 1000, 2);
    REQUIRE(fixture.supervisor.Queued() == 4);
    fixture.OrderFor(other, 1, 150, 0);
    CHECK(fixture.ends.empty());
    fixture.OrderFor(SubmissionId("00000000000000dd"), 1, 150, 2);
    CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
  }
}

TEST_CASE("nothing starts in a failure domain that is known to be closed")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.control.Adopt(
    { 5, ConfigurationVersion(1), {}, { FailureDomainId("promenade") } });
  fixture.Order(1);
  CHECK(fixture.starts.empty());
  CHECK(fixture.ends == std::vector{ RunOutcome::DomainClosed });
}

TEST_CASE("a draining runner gets no new runs")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.supervisor.OnRunnerReport(fixture.Report(RunnerState::Draining),
                                    fixture.now);
  fixture.Order(1);
  CHECK(fixture.starts.empty());
  CHECK(fixture.ends == std::vector{ RunOutcome::Leaving });
}

TEST_CASE("runs are stopped after contact with their entry is lost")
{
  Fixture fixture;
  fixture.StartRun();
  fixture.AdvanceTime(Milliseconds(900));
  fixture.supervisor.OnTick(fixture.now);
  CHECK(fixture.stops.empty());
  fixture.AdvanceTime(Milliseconds(150));
  fixture.supervisor.OnTick(fixture.now);
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops[0].key == fixture.Key(0));
}

TEST_CASE("an order that was delayed by a frozen process is refused")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.AdvanceTime(Milliseconds(4000));
  fixture.Order(1);
  CHECK(fixture.starts.empty());
  CHECK(fixture.ends == std::vector{ RunOutcome::NotRevalidated });
}

TEST_CASE("a stored report lets a new process start runs as soon as the "
          "runner's room is known")
{
  std::int64_t clockMs = GENERATE(3000, 9000);
  Fixture fixture(clockMs);
  auto stored = fixture.Report();
  stored.sequence = 0;
  stored.clockMs = 0;
  fixture.supervisor.OnRunnerReport(stored, fixture.now);
  // The earlier process's token is higher; the refusal contains the runner's
  // clock.
  HoldAnswer fenced{ HoldResult::Fenced, clockMs + 1, 0, {}, {} };
  fixture.AnswerHold(fenced);
  CHECK(fixture.holds.back().second.target.token ==
        static_cast<std::uint64_t>(fixture.startedMs + clockMs + 1));
  fixture.AnswerHold(fixture.Answer());
  fixture.Order(1);
  if (clockMs == 9000) {
    // The room may have shrunk since, so the next report is awaited. Nothing
    // else is: no other call precedes the start.
    CHECK(fixture.starts.empty());
    fixture.holds.clear();
    fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  }
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE(
  "a stored report of an earlier incarnation is replaced by the next report")
{
  Fixture fixture;
  auto stored = fixture.Report();
  fixture.startedMs += 7000;
  fixture.supervisor.OnRunnerReport(stored, fixture.now);
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  fixture.AnswerHold(fixture.Answer());
  fixture.AnswerHold(fixture.Answer());
  fixture.Order(1);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("nothing starts before the operators' configuration is known")
{
  Fixture fixture;
  fixture.control = {};
  fixture.Adopt();
  fixture.Order(1);
  CHECK(fixture.starts.empty());
}

TEST_CASE("a later process of an agent uses a higher fencing token")
{
  Fixture former(1000);
  former.Adopt();
  Fixture later(9000);
  later.Adopt();
  CHECK(later.token > former.token);
}

TEST_CASE("a new process starts with the slowness that the former one learned")
{
  // Tasks whose estimate is 100 ms take 150 ms on this runner.
  Fixture former;
  former.Adopt();
  for (std::uint64_t i = 1; i <= 40; ++i) {
    former.Order(1);
    former.supervisor.OnStartAnswered(
      former.Key(0), former.token, StartResult::Started, former.now);
    former.AdvanceTime(Milliseconds(150));
    former.Revalidate();
    former.supervisor.OnRunnerReport(former.Report(), former.now);
    former.AnswerHold(
      former.Answer({}, { { i, former.Key(0), EndKind::Done } }));
    former.supervisor.OnTick(former.now);
  }
  REQUIRE(former.saved.size() >= 2);
  CHECK(former.saved.size() <= 3);
  auto report = former.saved.back();
  CHECK(report.learnedSlowness > 1400);
  CHECK(report.learnedSlowness < 1600);

  Fixture later;
  SECTION("if the saved report comes first")
  {
    report.sequence = 0;
    later.supervisor.OnRunnerReport(report, later.now);
    later.AnswerHold(later.Answer());
  }
  SECTION("if the runner's own report comes first")
  {
    later.Adopt();
    report.sequence = 0;
    later.supervisor.OnRunnerReport(report, later.now);
  }
  auto status = later.supervisor.Status(kEntry, later.now);
  CHECK(status.slownessPermille == report.learnedSlowness);
  // The next process must find it too.
  CHECK(later.saved.back().learnedSlowness == report.learnedSlowness);
  // A new incarnation with the same labels is likely to be as fast.
  ++later.startedMs;
  later.supervisor.OnRunnerReport(later.Report(), later.now);
  later.AnswerHold(later.Answer());
  CHECK(later.supervisor.Status(kEntry, later.now).slownessPermille ==
        report.learnedSlowness);
}

TEST_CASE("a new process stops unknown runs before it starts any")
{
  Fixture fixture;
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  RunKey foreign{ SubmissionId("00000000000000ff"), { 0, 1 } };
  fixture.AnswerHold(fixture.Answer({ { foreign, 10 } }));
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops[0].key == foreign);
  fixture.Order(1);
  CHECK(fixture.starts.empty());
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE(
  "an unanswered start occupies resources until this incarnation can't run it")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(2);
  for (int i = 0; i < 3; ++i) {
    fixture.supervisor.OnStartAnswered(
      fixture.Key(0), fixture.token, StartResult::Unknown, fixture.now);
  }
  // Two retries, then a stop.
  CHECK(fixture.starts.size() == 4);
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).cpuFree == 0);
  fixture.AdvanceTime(Milliseconds(5));
  fixture.supervisor.OnStopAnswered(
    fixture.Key(0), fixture.token, StopResult::Accepted, fixture.now);
  // The answer to a hold call from before the stop proves nothing.
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.ends.empty());
  fixture.AdvanceTime(Milliseconds(5));
  fixture.AnswerHold(fixture.Answer());
  fixture.AnswerHold(fixture.Answer());
  REQUIRE(fixture.ends == std::vector{ RunOutcome::Unconfirmed });
  CHECK_FALSE(protocol::NeverStarted(fixture.ends.front()));
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).cpuFree == 1000);
}

TEST_CASE("the refusal of a retried start doesn't tell the outcome of the "
          "first attempt")
{
  auto refusal = GENERATE(StartResult::NotReached,
                          StartResult::NoRoom,
                          StartResult::OldRun,
                          StartResult::Fenced,
                          StartResult::Late,
                          StartResult::Unhealthy,
                          StartResult::Rejected);
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(1);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Unknown, fixture.now);
  REQUIRE(fixture.starts.size() == 2);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, refusal, fixture.now);
  // The job must not be rejected as not run, and the task must not start
  // elsewhere.
  CHECK(fixture.ends.empty());
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).cpuFree == 1000);
  SECTION("the runner had started the run before it crashed")
  {
    fixture.startedMs += 5000;
    fixture.sequence = 0;
    fixture.holds.clear();
    fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
    fixture.AnswerHold(fixture.Answer());
    CHECK(fixture.ends == std::vector{ RunOutcome::RunnerLost });
  }
  SECTION("the run had started and ended")
  {
    fixture.holds.clear();
    fixture.AdvanceTime(Milliseconds(100));
    fixture.supervisor.OnTick(fixture.now);
    fixture.AnswerHold(
      fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
    CHECK(fixture.ends == std::vector{ RunOutcome::Done });
  }
}

TEST_CASE("a start whose answer was lost is confirmed by a hold answer")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(1);
  fixture.AnswerHold(fixture.Answer({ { fixture.Key(0), 5 } }));
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Unknown, fixture.now);
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.stops.empty());
}

TEST_CASE("a delayed report of an earlier incarnation is ignored")
{
  Fixture fixture;
  auto old = fixture.Report();
  fixture.startedMs += 5000;
  fixture.Adopt();
  fixture.supervisor.OnRunnerReport(old, fixture.now);
  fixture.AnswerHold(fixture.Answer());
  fixture.Order(1);
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("a new incarnation of the runner ends the runs of the earlier one")
{
  Fixture fixture;
  fixture.StartRun();
  auto formerToken = fixture.token;
  fixture.startedMs += 5000;
  fixture.clockMs = 10;
  fixture.sequence = 0;
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.ends == std::vector{ RunOutcome::RunnerLost });
  CHECK(fixture.token > formerToken);
}

namespace {
/** Starts a run and then reports that its runner has a new incarnation. */
void
StartBeforeNextIncarnation(Fixture& aFixture)
{
  aFixture.Adopt();
  aFixture.Order(1);
  aFixture.supervisor.OnStartAnswered(
    aFixture.Key(0), aFixture.token, StartResult::Started, aFixture.now);
  aFixture.startedMs += 5000;
  aFixture.clockMs = 10;
  aFixture.sequence = 0;
  aFixture.holds.clear();
  aFixture.supervisor.OnRunnerReport(aFixture.Report(), aFixture.now);
}
}

TEST_CASE("a runner's next incarnation is fenced before it has reported")
{
  Fixture fixture;
  fixture.StartRun();
  auto formerToken = fixture.token;
  auto reportsSaved = fixture.saved.size();
  fixture.startedMs += 5000;
  fixture.clockMs = 10;
  fixture.sequence = 0;
  fixture.AnswerHold(fixture.Answer());
  REQUIRE(fixture.holds.size() == 1);
  CHECK(fixture.holds.front().second.target.token > formerToken);
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.ends == std::vector{ RunOutcome::RunnerLost });
  SECTION("but starts nothing, since its capacity isn't known")
  {
    fixture.OrderFor(SubmissionId("00000000000000bb"), 1, 500, 0);
    CHECK(fixture.starts.size() == 1);
    CHECK(fixture.saved.size() == reportsSaved);
    fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
    CHECK(fixture.starts.size() == 2);
    CHECK(fixture.saved.size() == reportsSaved + 1);
  }
}

TEST_CASE("a run that reached the runner's next incarnation is tracked there")
{
  Fixture fixture;
  StartBeforeNextIncarnation(fixture);
  fixture.AnswerHold(fixture.Answer({ { fixture.Key(0), 30 } }));
  // If the run were reported as stopped, its task would be placed on another
  // worker while it still runs.
  CHECK(fixture.ends.empty());
  CHECK(fixture.stops.empty());
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).cpuFree == 1000);
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
  CHECK(fixture.ends == std::vector{ RunOutcome::Done });
}

TEST_CASE("a run that ended in the runner's next incarnation is reported with "
          "its outcome")
{
  Fixture fixture;
  StartBeforeNextIncarnation(fixture);
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
  CHECK(fixture.ends == std::vector{ RunOutcome::Done });
}

TEST_CASE(
  "a stop that the earlier incarnation accepted is repeated at the next one")
{
  Fixture fixture;
  StartBeforeNextIncarnation(fixture);
  fixture.supervisor.OnCancel(
    kEntry, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, fixture.now);
  fixture.supervisor.OnStopAnswered(
    fixture.Key(0), fixture.token, StopResult::Accepted, fixture.now);
  fixture.stops.clear();
  fixture.AnswerHold(fixture.Answer({ { fixture.Key(0), 30 } }));
  fixture.supervisor.OnTick(fixture.now);
  REQUIRE(fixture.stops.size() == 1);
  CHECK(fixture.stops.front().target.token == fixture.token);
}

TEST_CASE("an unreachable runner gets no new runs until it answers")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(1);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::NotReached, fixture.now);
  CHECK_FALSE(fixture.supervisor.Status(kEntry, fixture.now).accepting);
  fixture.AdvanceTime(Milliseconds(60));
  fixture.supervisor.OnTick(fixture.now);
  REQUIRE_FALSE(fixture.holds.empty());
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).accepting);
}

TEST_CASE("a runner that refuses connections is called every 50 ms")
{
  Fixture fixture;
  fixture.StartRun();
  int holdCalls = 0;
  for (int i = 0; i < 100; ++i) {
    auto holds = std::move(fixture.holds);
    fixture.holds.clear();
    for (const auto& hold : holds) {
      ++holdCalls;
      HoldAnswer refused;
      refused.result = HoldResult::NotReached;
      fixture.supervisor.OnHoldAnswered(hold.first, refused, fixture.now);
    }
    fixture.AdvanceTime(Milliseconds(5));
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    fixture.supervisor.OnTick(fixture.now);
  }
  CHECK_FALSE(fixture.supervisor.Status(kEntry, fixture.now).accepting);
  CHECK(holdCalls <= 11);
  CHECK(holdCalls >= 5);
}

TEST_CASE("the runs of an unresponsive runner lapse and are given up")
{
  Fixture fixture;
  fixture.Adopt();
  // Leases from an earlier process of the agent have expired.
  fixture.AdvanceTime(Milliseconds(2000));
  fixture.Revalidate();
  fixture.Order(1);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Started, fixture.now);
  auto unresponsiveSince = fixture.now;
  while (fixture.ends.empty() &&
         fixture.now < unresponsiveSince + Milliseconds(5000)) {
    fixture.AdvanceTime(Milliseconds(25));
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    fixture.supervisor.OnTick(fixture.now);
    auto lease =
      fixture.holds.empty() ? 0 : fixture.holds.back().second.leaseUntilMs;
    bool isRenewal = lease > fixture.clockMs + 900;
    CHECK_FALSE(
      (isRenewal && fixture.now > unresponsiveSince + Milliseconds(250)));
  }
  // The run must not be given up before the last lease has expired, even on a
  // slow clock.
  CHECK(fixture.now > unresponsiveSince + Milliseconds(1020));
  CHECK(fixture.now < unresponsiveSince + Milliseconds(1500));
  CHECK(fixture.ends == std::vector{ RunOutcome::Stopped });
}

TEST_CASE("the start timeout adapts to a runner that answers quickly")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(1);
  CHECK(fixture.starts.back().timeout == Milliseconds(60));
  fixture.AdvanceTime(Milliseconds(2));
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Started, fixture.now);
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
  fixture.Order(2);
  CHECK(fixture.starts.back().timeout == Milliseconds(20));
}

TEST_CASE("hold and stop calls that fail at once are not repeated at once")
{
  Fixture fixture;
  fixture.StartRun();
  fixture.AnswerHold({});
  CHECK(fixture.holds.empty());
  fixture.AdvanceTime(Milliseconds(25));
  fixture.supervisor.OnTick(fixture.now);
  CHECK(fixture.holds.size() == 1);
  fixture.supervisor.OnCancel(
    kEntry, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, fixture.now);
  REQUIRE(fixture.stops.size() == 1);
  fixture.supervisor.OnStopAnswered(
    fixture.Key(0), fixture.token, StopResult::Unknown, fixture.now);
  CHECK(fixture.stops.size() == 1);
  fixture.AdvanceTime(Milliseconds(25));
  fixture.supervisor.OnTick(fixture.now);
  CHECK(fixture.stops.size() == 2);
}

TEST_CASE("cancelling waiting tasks leaves active runs alone")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(3);
  fixture.supervisor.OnCancel(
    kEntry,
    { kJob, { { 0, 1 }, { 2, 1 } }, protocol::CancelScope::Waiting },
    fixture.now);
  CHECK(fixture.stops.empty());
  CHECK(fixture.ends ==
        std::vector{ RunOutcome::StillRunning, RunOutcome::Cancelled });
}

TEST_CASE("a run without progress is stopped and reported as stuck")
{
  Fixture fixture;
  fixture.StartRun();
  for (int i = 0; i < 10 && fixture.stops.empty(); ++i) {
    fixture.AdvanceTime(Milliseconds(50));
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    fixture.supervisor.OnTick(fixture.now);
    if (!fixture.holds.empty()) {
      fixture.AnswerHold(fixture.Answer({ { fixture.Key(0), 0 } }));
    }
  }
  REQUIRE(fixture.stops.size() == 1);
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Stopped } }));
  CHECK(fixture.ends == std::vector{ RunOutcome::Stuck });
}

TEST_CASE("a graceful stop returns queued runs and lets active ones end")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(3);
  fixture.supervisor.BeginStop(fixture.now);
  CHECK(fixture.ends == std::vector{ RunOutcome::Leaving });
  CHECK(fixture.stops.empty());
  CHECK_FALSE(fixture.supervisor.IsIdle());
  CHECK_FALSE(fixture.supervisor.Status(kEntry, fixture.now).accepting);
}
