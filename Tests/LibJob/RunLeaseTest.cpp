#include "Tests/LibJob/RunSupervisorFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace vanillaworks;
using namespace vanillaworks::job;
using namespace vanillaworks::tests;

namespace {
using Fixture = RunSupervisorFixture;

/** Time after which a caller without an answer starts its job elsewhere. */
constexpr Milliseconds kCallerRetry{ 1300 };
constexpr double kSlowestClock = 0.98;
const EntryId kOtherEntry("entry-2");

/** Plays a sound runner that answers everything at once, for aFor. */
struct Player
{
  /** The run's lease, as the runner would keep it. */
  MonotonicTime LeaseEnd() const
  {
    auto left = Milliseconds(leaseUntilMs - fixture.clockMs) / kSlowestClock;
    return fixture.now + std::chrono::duration_cast<Milliseconds>(left);
  }
  void TakeCalls()
  {
    for (const auto& call : fixture.starts) {
      leaseUntilMs = std::max(leaseUntilMs, call.leaseUntilMs);
      started.insert(call.key);
    }
    fixture.starts.clear();
    auto holds = std::move(fixture.holds);
    fixture.holds.clear();
    for (const auto& [number, call] : holds) {
      leaseUntilMs = std::max(leaseUntilMs, call.leaseUntilMs);
      fixture.supervisor.OnHoldAnswered(
        number, fixture.Answer(running), fixture.now);
    }
  }
  void Run(Milliseconds aFor)
  {
    for (Milliseconds passed{ 0 }; passed < aFor; passed += Milliseconds(1)) {
      fixture.AdvanceTime(Milliseconds(1));
      if (isOtherEntryUp) {
        fixture.supervisor.OnRevalidated(kOtherEntry, fixture.now);
      }
      fixture.supervisor.OnTick(fixture.now);
      TakeCalls();
    }
  }

  Fixture fixture;
  std::vector<RunningRow> running;
  std::set<RunKey> started;
  std::int64_t leaseUntilMs = 0;
  bool isOtherEntryUp = false;
};

/** Starts a run of kEntry. */
void
StartRun(Player& aPlayer)
{
  auto& fixture = aPlayer.fixture;
  fixture.Adopt();
  fixture.Order(1);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Started, fixture.now);
  aPlayer.running = { { fixture.Key(0), 10 } };
  aPlayer.TakeCalls();
}

/** Orders a run of kOtherEntry, which stays in contact from now on. */
void
OrderForOtherEntry(Player& aPlayer)
{
  auto& fixture = aPlayer.fixture;
  fixture.supervisor.OnResume({ kOtherEntry, Incarnation(1), {} }, fixture.now);
  fixture.supervisor.OnRevalidated(kOtherEntry, fixture.now);
  protocol::RunOrder order;
  order.job = SubmissionId("00000000000000bb");
  order.cpu = 1000;
  order.estimateMs = 5000;
  order.startWithinMs = 500;
  order.tasks = { { 0, 1 } };
  fixture.supervisor.OnOrder(kOtherEntry, order, fixture.now);
  aPlayer.isOtherEntryUp = true;
  aPlayer.running.push_back({ { order.job, { 0, 1 } }, 10 });
}
}

TEST_CASE("a run's lease ends before its caller's retry, whenever its agent "
          "fails after the entry")
{
  Player player;
  StartRun(player);
  player.Run(Milliseconds(500));
  player.fixture.supervisor.OnRevalidated(kEntry, player.fixture.now);
  auto entryLostAt = player.fixture.now;
  // The runner never carries out the stop, so that only the lease ends the run.
  for (int passed = 0; passed < 1300; ++passed) {
    player.Run(Milliseconds(1));
    REQUIRE(player.LeaseEnd() - entryLostAt < kCallerRetry);
  }
}

TEST_CASE("runs of another entry don't extend the lease of a lost entry's run")
{
  Player player;
  StartRun(player);
  auto& fixture = player.fixture;
  OrderForOtherEntry(player);
  player.Run(Milliseconds(100));
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  auto entryLostAt = fixture.now;
  for (int passed = 0; passed < 1300; ++passed) {
    player.Run(Milliseconds(1));
    REQUIRE(player.LeaseEnd() - entryLostAt < kCallerRetry);
  }
}

TEST_CASE("no run starts while the runner's lease goes on after its caller's "
          "retry")
{
  Player player;
  auto& fixture = player.fixture;
  fixture.Adopt();
  OrderForOtherEntry(player);
  player.Run(Milliseconds(500));
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  auto entryLostAt = fixture.now;
  player.Run(Milliseconds(700));
  fixture.Order(1);
  for (int passed = 700; passed < 900; ++passed) {
    player.Run(Milliseconds(1));
    bool hasStarted = player.started.contains(fixture.Key(0));
    bool isBound = player.LeaseEnd() - entryLostAt < kCallerRetry;
    REQUIRE((isBound || !hasStarted));
  }
  // The contact was only late.
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  player.Run(Milliseconds(1));
  CHECK(player.started.contains(fixture.Key(0)));
}

TEST_CASE(
  "the lease of a cancelled run ends before its caller's retry although "
  "its stop gets no answer")
{
  Player player;
  StartRun(player);
  auto& fixture = player.fixture;
  player.Run(Milliseconds(100));
  fixture.supervisor.OnCancel(
    kEntry, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, fixture.now);
  auto cancelledAt = fixture.now;
  for (int passed = 0; passed < 1300; ++passed) {
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    player.Run(Milliseconds(1));
    REQUIRE(player.LeaseEnd() - cancelledAt < kCallerRetry);
  }
}

TEST_CASE("the lease of a run whose cancel was lost with its link ends before "
          "its caller's retry")
{
  Player player;
  StartRun(player);
  auto& fixture = player.fixture;
  player.Run(Milliseconds(100));
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  auto cancelledAt = fixture.now;
  player.Run(Milliseconds(900));
  protocol::RunCancel cancel{ kJob, { { 0, 1 } }, protocol::CancelScope::All };
  cancel.isCancelled = true;
  fixture.supervisor.OnResume({ kEntry, Incarnation(1), { cancel } },
                              fixture.now);
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  fixture.supervisor.OnCancel(kEntry, cancel, fixture.now);
  for (int passed = 900; passed < 1300; ++passed) {
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    player.Run(Milliseconds(1));
    REQUIRE(player.LeaseEnd() - cancelledAt < kCallerRetry);
  }
}

TEST_CASE("a new process of an entry doesn't extend the lease of a run of the "
          "former one")
{
  Player player;
  StartRun(player);
  auto& fixture = player.fixture;
  player.Run(Milliseconds(100));
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  auto entryLostAt = fixture.now;
  player.Run(Milliseconds(600));
  fixture.supervisor.OnResume({ kEntry, Incarnation(2), {} }, fixture.now);
  for (int passed = 600; passed < 1300; ++passed) {
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    player.Run(Milliseconds(1));
    REQUIRE(player.LeaseEnd() - entryLostAt < kCallerRetry);
  }
}

TEST_CASE("a run that starts at a runner that was idle for long has no longer "
          "lease than another")
{
  Player player;
  auto& fixture = player.fixture;
  fixture.Adopt();
  // The runner's clock is as slow as it may be.
  fixture.now += std::chrono::seconds(60);
  fixture.clockMs += 58'800;
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  fixture.now += std::chrono::seconds(3);
  fixture.clockMs += 2940;
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  auto entryLostAt = fixture.now;
  fixture.now += Milliseconds(900);
  fixture.clockMs += 882;
  fixture.Order(1);
  REQUIRE(fixture.starts.size() == 1);
  player.TakeCalls();
  CHECK(player.LeaseEnd() > fixture.now + Milliseconds(200));
  CHECK(player.LeaseEnd() - entryLostAt < kCallerRetry);
}

TEST_CASE(
  "a run that reached the runner's next incarnation counts as ended only "
  "after a whole lease")
{
  Player player;
  auto& fixture = player.fixture;
  fixture.Adopt();
  fixture.AdvanceTime(std::chrono::seconds(5));
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  fixture.AdvanceTime(Milliseconds(700));
  fixture.Order(1);
  REQUIRE(fixture.starts.size() == 1);
  auto startedAt = fixture.now;
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Started, fixture.now);
  // The new incarnation's clock is far behind, so it grants its maximum.
  constexpr Milliseconds kMaxLease{ 1000 };
  while (fixture.now - startedAt < kMaxLease / kSlowestClock) {
    REQUIRE(fixture.events.empty());
    fixture.AdvanceTime(Milliseconds(1));
    fixture.supervisor.OnTick(fixture.now);
  }
}

TEST_CASE("a start that was refused for an outdated clock makes the agent read "
          "the clock")
{
  Player player;
  auto& fixture = player.fixture;
  fixture.Adopt();
  fixture.AdvanceTime(std::chrono::minutes(3) - Milliseconds(3000));
  auto delayed = fixture.Report();
  fixture.AdvanceTime(Milliseconds(3000));
  fixture.supervisor.OnRunnerReport(delayed, fixture.now);
  fixture.supervisor.OnRevalidated(kEntry, fixture.now);
  fixture.Order(1);
  REQUIRE(fixture.starts.size() == 1);
  REQUIRE(fixture.starts[0].leaseUntilMs < fixture.clockMs);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Late, fixture.now);
  CHECK(fixture.ends == std::vector{ protocol::RunOutcome::NoRoom });
  REQUIRE(fixture.holds.size() == 1);
  fixture.AnswerHold(fixture.Answer());
  fixture.starts.clear();
  protocol::RunOrder next;
  next.job = kJob;
  next.cpu = 1000;
  next.startWithinMs = 500;
  next.tasks = { { 0, 2 } };
  fixture.supervisor.OnOrder(kEntry, next, fixture.now);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].leaseUntilMs > fixture.clockMs);
}

TEST_CASE("the lease of runs whose entry is in contact is renewed")
{
  Player player;
  StartRun(player);
  auto& fixture = player.fixture;
  // An entry's frames echo what the agent sent up to half a second before.
  constexpr Milliseconds kContactAge{ 520 };
  for (int passed = 0; passed < 3000; ++passed) {
    fixture.supervisor.OnRevalidated(kEntry, fixture.now - kContactAge);
    player.Run(Milliseconds(1));
    REQUIRE(player.LeaseEnd() - fixture.now > Milliseconds(500));
  }
  CHECK(fixture.ends.empty());
}
