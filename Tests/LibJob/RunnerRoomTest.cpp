#include "Tests/LibJob/RunSupervisorFixture.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;

namespace {
using Fixture = RunSupervisorFixture;
using protocol::RunOutcome;

/** The room for one of the runs that Fixture::Order() orders. */
constexpr Resources kRoomForOne{ 1000, 1000, 0 };

/** What the store returns: sequence and clock are not saved. */
RunnerReport
Stored(const Fixture& aFormer)
{
  auto stored = aFormer.saved.back();
  stored.sequence = 0;
  stored.clockMs = 0;
  return stored;
}

void
ReportRoom(Fixture& aFixture, const Resources& aRoom)
{
  auto report = aFixture.Report();
  report.capacity = aRoom;
  aFixture.supervisor.OnRunnerReport(report, aFixture.now);
}
}

TEST_CASE("an agent that restarts after its runner's room has shrunk starts "
          "nothing by the saved room")
{
  Fixture former(60'000);
  former.Adopt();
  bool isShrinkReported = GENERATE(true, false);
  if (isShrinkReported) {
    former.AdvanceTime(Milliseconds(1500));
    ReportRoom(former, kRoomForOne);
    former.supervisor.OnTick(former.now);
  }
  Fixture later(70'000);
  later.sequence = 9;
  later.supervisor.OnRunnerReport(Stored(former), later.now);
  later.AnswerHold(later.Answer());
  later.Order(2, 5000);
  CHECK(later.starts.empty());
  CHECK(later.ends.empty());
  CHECK_FALSE(later.supervisor.Status(kEntry, later.now).accepting);
  ReportRoom(later, kRoomForOne);
  CHECK(later.starts.size() == 1);
  CHECK(later.supervisor.Status(kEntry, later.now).accepting);
}

TEST_CASE("nothing starts by a report that the runner sent long ago")
{
  Fixture fixture;
  fixture.Adopt();
  SECTION("since later ones are lost")
  {
    fixture.AdvanceTime(Milliseconds(4500));
    fixture.supervisor.OnTick(fixture.now);
  }
  SECTION("since it was delayed")
  {
    auto delayed = fixture.Report();
    fixture.AdvanceTime(Milliseconds(4500));
    fixture.supervisor.OnRunnerReport(delayed, fixture.now);
  }
  SECTION("although a refused token told the clock of today")
  {
    auto next = fixture.Report();
    next.startedMs = ++fixture.startedMs;
    fixture.supervisor.OnRunnerReport(next, fixture.now);
    fixture.AdvanceTime(Milliseconds(4500));
    fixture.AnswerHold(
      { HoldResult::Fenced, fixture.clockMs, fixture.startedMs, {}, {} });
    fixture.AnswerHold(fixture.Answer());
  }
  fixture.Revalidate();
  auto revision = fixture.supervisor.StatusRevision();
  fixture.Order(1);
  CHECK(fixture.starts.empty());
  CHECK_FALSE(fixture.supervisor.Status(kEntry, fixture.now).accepting);
  ReportRoom(fixture, kRoomForOne);
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.supervisor.StatusRevision() > revision);
}

TEST_CASE("entries are told at once that the room is unknown or known again")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.supervisor.OnTick(fixture.now);
  auto known = fixture.supervisor.StatusRevision();
  fixture.AdvanceTime(Milliseconds(4500));
  fixture.supervisor.OnTick(fixture.now);
  CHECK(fixture.supervisor.StatusRevision() > known);
}

TEST_CASE("a start is not retried by a report that the runner sent long ago")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.AdvanceTime(Milliseconds(3900));
  fixture.Revalidate();
  fixture.Order(1);
  REQUIRE(fixture.starts.size() == 1);
  fixture.AdvanceTime(Milliseconds(600));
  // The runner is reachable, so that only the age of its report is against it.
  fixture.AnswerHold(fixture.Answer());
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Unknown, fixture.now);
  CHECK(fixture.starts.size() == 1);
  CHECK(fixture.stops.size() == 1);
}
