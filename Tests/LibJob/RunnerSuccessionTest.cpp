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
  constexpr Milliseconds kTick{ 25 };
  for (auto end = aFixture.now + aTime; aFixture.now < end;) {
    aFixture.AdvanceTime(kTick);
    aFixture.supervisor.OnRevalidated(kEntry, aFixture.now);
    aFixture.supervisor.OnTick(aFixture.now);
    auto holds = std::exchange(aFixture.holds, {});
    for (const auto& hold : holds) {
      HoldAnswer answer;
      answer.result = HoldResult::NotReached;
      if (aAnswers) {
        answer = aFixture.Answer();
      }
      aFixture.supervisor.OnHoldAnswered(hold.first, answer, aFixture.now);
    }
  }
}

bool
StartsNewTask(RunSupervisorFixture& aFixture)
{
  auto before = aFixture.starts.size();
  aFixture.OrderFor(SubmissionId("00000000000000bb"), 1, 500, 0);
  return aFixture.starts.size() > before;
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
  CHECK(StartsNewTask(fixture));
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
  CHECK(StartsNewTask(fixture));
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
    fixture.supervisor.OnRunnerLeaving("r1", fixture.now);
  }
  auto next = Stranger(fixture);
  fixture.startedMs = next.startedMs;
  fixture.holds.clear();
  fixture.supervisor.OnRunnerReport(next, fixture.now);
  REQUIRE(fixture.holds.size() == 1);
  CHECK(fixture.holds[0].second.target.id == "r2");
  fixture.AnswerHold(fixture.Answer());
  CHECK(StartsNewTask(fixture));
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
  CHECK(StartsNewTask(fixture));
  CHECK(fixture.starts.back().target.id == "r2");
}
