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

TEST_CASE("a run for which the runner is too small is returned at once")
{
  auto room = GENERATE(Resources{ 0, 0, 0 },
                       Resources{ -1, -1, -1 },
                       Resources{ 999, 1000, 0 },
                       Resources{ 2000, 1000, -1 });
  Fixture fixture;
  fixture.Adopt();
  SECTION("if the room has shrunk before its order")
  {
    ReportRoom(fixture, room);
    fixture.Order(1, 5000);
    CHECK(fixture.starts.empty());
    CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
  }
  SECTION("if the room shrinks while it is queued")
  {
    fixture.Order(3, 5000);
    REQUIRE(fixture.supervisor.Queued() == 1);
    ReportRoom(fixture, room);
    CHECK(fixture.supervisor.Queued() == 0);
    CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
  }
}

TEST_CASE("a run whose memory a shrunk room lacks is returned at once")
{
  Fixture fixture;
  fixture.Adopt();
  ReportRoom(fixture, { 2000, 10, 0 });
  protocol::RunOrder order;
  order.job = kJob;
  order.cpu = 1000;
  order.memory = 11;
  order.startWithinMs = 5000;
  order.tasks = { { 0, 1 } };
  fixture.supervisor.OnOrder(kEntry, order, fixture.now);
  CHECK(fixture.ends == std::vector{ RunOutcome::NoRoom });
}

TEST_CASE("runs above a shrunk room go on, and queued ones start as soon as "
          "there is room")
{
  Fixture fixture;
  fixture.Adopt();
  fixture.Order(3, 5000);
  REQUIRE(fixture.starts.size() == 2);
  for (std::uint32_t i = 0; i < 2; ++i) {
    fixture.supervisor.OnStartAnswered(
      fixture.Key(i), fixture.token, StartResult::Started, fixture.now);
  }
  ReportRoom(fixture, kRoomForOne);
  CHECK(fixture.stops.empty());
  CHECK(fixture.supervisor.Queued() == 1);
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).cpuFree == -2000);
  fixture.AdvanceTime(Milliseconds(100));
  SECTION("since the runs end")
  {
    fixture.AnswerHold(fixture.Answer(
      { { fixture.Key(1), 90 } }, { { 1, fixture.Key(0), EndKind::Done } }));
    CHECK(fixture.starts.size() == 2);
    fixture.AnswerHold(
      fixture.Answer({}, { { 2, fixture.Key(1), EndKind::Done } }));
    CHECK(fixture.starts.size() == 3);
  }
  SECTION("since the room grows")
  {
    ReportRoom(fixture, { 3000, 1000, 0 });
    CHECK(fixture.starts.size() == 3);
  }
}
