#include "Tests/LibJob/RunSupervisorFixture.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;
using protocol::RunOutcome;

namespace {
constexpr Milliseconds kReportInterval{ 1500 };

/** Another runner that reports to the agent of "r1". */
RunnerReport
Stranger(RunSupervisorFixture& aFixture)
{
  auto report = aFixture.Report();
  report.id = "r2";
  report.address = "r2";
  report.startedMs += 5000;
  return report;
}

/** Lets time pass; the present runner answers all calls, or none. */
void
Pass(RunSupervisorFixture& aFixture, Milliseconds aTime, bool aAnswers)
{
  aFixture.Pass(aTime, [&aFixture, aAnswers] {
    auto holds = std::exchange(aFixture.holds, {});
    for (const auto& hold : holds) {
      HoldAnswer answer;
      answer.result = HoldResult::NotReached;
      if (aAnswers) {
        answer = aFixture.Answer();
      }
      aFixture.supervisor.OnHoldAnswered(hold.first, answer, aFixture.now);
    }
  });
}
}

// The other runner was taken for the next incarnation of the present one, whose
// tasks were started again elsewhere.
TEST_CASE("a report of a runner at another address ends no run")
{
  RunSupervisorFixture fixture;
  fixture.StartRun();
  fixture.supervisor.OnRunnerReport(Stranger(fixture), fixture.now);
  CHECK(fixture.ignored.size() == 1);
  for (const auto& hold : fixture.holds) {
    CHECK(hold.second.target.id == "r1");
  }
  CHECK(fixture.ends.empty());
  fixture.AnswerHold(fixture.Answer({ { fixture.Key(0), 50 } }));
  CHECK(fixture.ends.empty());
  CHECK(fixture.StartsNewTask());
}

TEST_CASE("a runner that answers keeps its place beside one that reports too")
{
  RunSupervisorFixture fixture;
  fixture.Adopt();
  for (int i = 0; i < 3; ++i) {
    fixture.supervisor.OnRunnerReport(Stranger(fixture), fixture.now);
    Pass(fixture, kReportInterval, true);
    fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  }
  CHECK(fixture.ignored.size() == 3);
  CHECK(fixture.StartsNewTask());
  CHECK(fixture.starts.back().target.id == "r1");
}

TEST_CASE("a runner at another address takes the place of one that is gone")
{
  RunSupervisorFixture fixture;
  fixture.Adopt();
  SECTION("it doesn't answer any more")
  {
    fixture.supervisor.OnRunnerReport(Stranger(fixture), fixture.now);
    Pass(fixture, kReportInterval, false);
  }
  SECTION("it has announced its shutdown")
  {
    fixture.supervisor.OnRunnerLeaving("r1", {}, fixture.now);
  }
  auto next = Stranger(fixture);
  fixture.startedMs = next.startedMs;
  fixture.holds.clear();
  fixture.supervisor.OnRunnerReport(next, fixture.now);
  REQUIRE(fixture.holds.size() == 1);
  CHECK(fixture.holds[0].second.target.id == "r2");
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.StartsNewTask());
  CHECK(fixture.starts.back().target.id == "r2");
}

TEST_CASE("a runner whose service has no route gives way to one that has")
{
  RunSupervisorFixture fixture;
  protocol::RouteRow route;
  route.service = "tally";
  fixture.control.Adopt({ 2, ConfigurationVersion(2), { route }, {} });
  auto first = fixture.Report();
  first.service = "unnamed";
  fixture.supervisor.OnRunnerReport(first, fixture.now);
  fixture.AnswerHold(fixture.Answer());
  auto second = Stranger(fixture);
  fixture.startedMs = second.startedMs;
  fixture.supervisor.OnRunnerReport(second, fixture.now);
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.StartsNewTask());
  CHECK(fixture.starts.back().target.id == "r2");
}

namespace {
/** The runner of a supervisor without runs starts again under its id. */
struct RebornRunner : RunSupervisorFixture
{
  RebornRunner()
  {
    Adopt();
    formerToken = token;
    AdvanceTime(Milliseconds(1000));
    startedMs += 1000;
    clockMs = 1;
    sequence = 0;
    supervisor.OnRevalidated(kEntry, now);
  }
  std::uint64_t formerToken;
};
}

// The room of the former incarnation stayed in force until a call to the next
// one was answered.
TEST_CASE("nothing starts by the room of an incarnation that is replaced")
{
  RebornRunner runner;
  auto report = runner.Report();
  report.capacity = { 1000, 1000, 0 };
  runner.supervisor.OnRunnerReport(report, runner.now);
  runner.Order(2);
  CHECK(runner.starts.empty());
  CHECK_FALSE(runner.supervisor.Status(kEntry, runner.now).accepting);
  runner.AnswerHold(runner.Answer());
  CHECK(runner.starts.size() == 1);
}

// The next incarnation stayed without a fencing token until its next report,
// and carried out a late start for the former one.
TEST_CASE("the call that fences the next incarnation is repeated")
{
  RebornRunner runner;
  runner.supervisor.OnRunnerReport(runner.Report(), runner.now);
  REQUIRE(runner.holds.size() == 1);
  auto first = runner.holds[0];
  runner.AdvanceTime(Milliseconds(25));
  runner.supervisor.OnTick(runner.now);
  REQUIRE(runner.holds.size() == 2);
  CHECK(runner.holds[1].second.target.token > runner.formerToken);
  SECTION("the answer to the repeated call counts")
  {
    runner.AnswerHold(runner.Answer());
  }
  SECTION("a late answer to the first call counts")
  {
    runner.supervisor.OnHoldAnswered(first.first, runner.Answer(), runner.now);
  }
  SECTION("the first call fails before the other is answered")
  {
    runner.supervisor.OnHoldAnswered(first.first, {}, runner.now);
    runner.AnswerHold(runner.Answer());
  }
  CHECK(runner.token > runner.formerToken);
  CHECK(runner.StartsNewTask());
}

TEST_CASE("a report of an incarnation that never answers is given up")
{
  RebornRunner runner;
  runner.supervisor.OnRunnerReport(runner.Report(), runner.now);
  Pass(runner, Milliseconds(4000), false);
  CHECK(runner.holds.empty());
  auto next = runner.Report();
  next.startedMs += 5000;
  runner.startedMs = next.startedMs;
  runner.supervisor.OnRunnerReport(next, runner.now);
  runner.AnswerHold(runner.Answer());
  CHECK(runner.StartsNewTask());
}

TEST_CASE("a delayed report of an earlier incarnation holds up no start")
{
  RunSupervisorFixture fixture;
  fixture.Adopt();
  auto former = fixture.Report();
  former.startedMs -= 5000;
  fixture.supervisor.OnRunnerReport(former, fixture.now);
  fixture.Order(1);
  CHECK(fixture.ends.empty());
  fixture.AnswerHold(fixture.Answer());
  CHECK(fixture.starts.size() == 1);
}
