#include "LibJob/RunKeeper.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const EntryId kEntry("entry-1");
const SubmissionId kJob("00000000000000aa");

/** Keeps what the keeper asks for; the test answers. */
struct Rig final : RunKeeperPort
{
  explicit Rig(std::int64_t aClockMs = 1000)
    : clockMs(aClockMs)
  {
    control.Adopt({ 1, ConfigurationVersion(1), {}, {} });
    Vouch();
  }

  void CallStart(const StartCall& aCall) override { starts.push_back(aCall); }
  void CallStop(const StopCall& aCall) override { stops.push_back(aCall); }
  void CallHold(std::uint64_t aNumber, const HoldCall& aCall) override
  {
    holds.emplace_back(aNumber, aCall);
  }
  void SendToEntry(const EntryId&, protocol::Message aMessage) override
  {
    if (auto* report = std::get_if<protocol::RunReport>(&aMessage)) {
      for (const auto& end : report->ends) {
        ends.push_back(end.outcome);
      }
    }
  }
  void OnRunEnded(const EntryId&,
                  const SubmissionId&,
                  const protocol::RunEnd&) override
  {
  }
  void OnRunnerLife(const RunnerReport&, std::uint64_t aToken) override
  {
    token = aToken;
  }

  RunnerReport Report(RunnerState aState = RunnerState::Ready)
  {
    RunnerReport report;
    report.id = "r1";
    report.born = born;
    report.sequence = ++sequence;
    report.service = "tally";
    report.address = "r1";
    report.domain = FailureDomainId("promenade");
    report.capacity = { 2000, 1000, 0 };
    report.state = aState;
    report.clockMs = clockMs;
    return report;
  }
  HoldAnswer Answer(std::vector<RunningRow> aRunning = {},
                    std::vector<FinishedRow> aFinished = {}) const
  {
    return { HoldResult::Answered,
             clockMs,
             born,
             std::move(aRunning),
             std::move(aFinished) };
  }
  void AnswerHold(const HoldAnswer& aAnswer)
  {
    auto [number, call] = holds.back();
    holds.clear();
    keeper.OnHoldAnswered(number, aAnswer, now);
  }
  void Adopt()
  {
    keeper.OnRunnerReport(Report(), now);
    AnswerHold(Answer());
  }
  void Vouch()
  {
    keeper.OnResume({ kEntry, Incarnation(1), {} }, now);
    keeper.OnVouched(kEntry, now);
  }
  void Order(std::uint32_t aTasks, std::int64_t aStartWithinMs = 500)
  {
    protocol::RunOrder order;
    order.sequence = ++orders;
    order.job = kJob;
    order.cpu = 1000;
    order.estimateMs = 100;
    order.startWithinMs = aStartWithinMs;
    for (std::uint32_t i = 0; i < aTasks; ++i) {
      order.tasks.push_back({ i, 1 });
    }
    keeper.OnOrder(kEntry, order, now);
  }
  void Pass(Milliseconds aTime)
  {
    now += aTime;
    clockMs += aTime.count();
  }
  RunKey Key(std::uint32_t aTask) const { return { kJob, { aTask, 1 } }; }

  MonotonicTime now{ std::chrono::hours(1) };
  std::int64_t clockMs;
  std::int64_t born = 1'700'000'000'000;
  std::uint64_t sequence = 0;
  std::uint64_t orders = 0;
  std::uint64_t token = 0;
  std::vector<StartCall> starts;
  std::vector<StopCall> stops;
  std::vector<std::pair<std::uint64_t, HoldCall>> holds;
  std::vector<protocol::RunOutcome> ends;
  ControlView control;
  RunKeeper keeper{ UpstreamId("u1"),
                    Incarnation(1),
                    RunKeeperLimits{},
                    control,
                    *this };
};
}

using protocol::RunOutcome;

TEST_CASE("a keeper starts what fits and queues the rest")
{
  Rig rig;
  rig.Adopt();
  rig.Order(3);
  CHECK(rig.starts.size() == 2);
  CHECK(rig.keeper.Queued() == 1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  rig.AnswerHold(rig.Answer({}, { { 1, rig.Key(0), EndKind::Done } }));
  CHECK(rig.starts.size() == 3);
  CHECK(rig.ends == std::vector{ RunOutcome::Done });
}

TEST_CASE("an order for room that is gone comes back at once")
{
  Rig rig;
  rig.Adopt();
  rig.Order(3, 0);
  CHECK(rig.starts.size() == 2);
  CHECK(rig.ends == std::vector{ RunOutcome::NoRoom });
}

TEST_CASE("nothing starts in a domain that the gate knows to be closed")
{
  Rig rig;
  rig.Adopt();
  rig.control.Adopt(
    { 5, ConfigurationVersion(1), {}, { FailureDomainId("promenade") } });
  rig.Order(1);
  CHECK(rig.starts.empty());
  CHECK(rig.ends == std::vector{ RunOutcome::DomainClosed });
}

TEST_CASE("a draining runner gets nothing new")
{
  Rig rig;
  rig.Adopt();
  rig.keeper.OnRunnerReport(rig.Report(RunnerState::Draining), rig.now);
  rig.Order(1);
  CHECK(rig.starts.empty());
  CHECK(rig.ends == std::vector{ RunOutcome::Leaving });
}

TEST_CASE("runs are stopped when their entry no longer vouches for them")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  rig.Pass(Milliseconds(900));
  rig.keeper.OnTick(rig.now);
  CHECK(rig.stops.empty());
  rig.Pass(Milliseconds(150));
  rig.keeper.OnTick(rig.now);
  REQUIRE(rig.stops.size() == 1);
  CHECK(rig.stops[0].key == rig.Key(0));
}

TEST_CASE("an order that waited while the process stood still is refused")
{
  Rig rig;
  rig.Adopt();
  rig.Pass(Milliseconds(4000));
  rig.Order(1);
  CHECK(rig.starts.empty());
  CHECK(rig.ends == std::vector{ RunOutcome::NotRevalidated });
}

TEST_CASE("a kept report lets a new process begin without the next report")
{
  Rig rig(9000);
  auto kept = rig.Report();
  kept.sequence = 0;
  kept.clockMs = 0;
  rig.keeper.OnRunnerReport(kept, rig.now);
  // The former process's token is higher; the refusal tells the clock.
  HoldAnswer fenced{ HoldResult::Fenced, 9001, 0, {}, {} };
  rig.AnswerHold(fenced);
  CHECK(rig.holds.back().second.target.token ==
        static_cast<std::uint64_t>(rig.born + 9001));
  rig.AnswerHold(rig.Answer());
  rig.Order(1);
  CHECK(rig.starts.size() == 1);
}

TEST_CASE("a kept report of a former life gives way to the next report")
{
  Rig rig;
  auto kept = rig.Report();
  rig.born += 7000;
  rig.keeper.OnRunnerReport(kept, rig.now);
  rig.keeper.OnRunnerReport(rig.Report(), rig.now);
  rig.AnswerHold(rig.Answer());
  rig.AnswerHold(rig.Answer());
  rig.Order(1);
  CHECK(rig.starts.size() == 1);
}

TEST_CASE("nothing starts before the operators have been heard of")
{
  Rig rig;
  rig.control = {};
  rig.Adopt();
  rig.Order(1);
  CHECK(rig.starts.empty());
}

TEST_CASE("a later process of an agent takes a higher fencing token")
{
  Rig former(1000);
  former.Adopt();
  Rig later(9000);
  later.Adopt();
  CHECK(later.token > former.token);
}

TEST_CASE("a new process stops what it does not know before it starts anything")
{
  Rig rig;
  rig.keeper.OnRunnerReport(rig.Report(), rig.now);
  RunKey foreign{ SubmissionId("00000000000000ff"), { 0, 1 } };
  rig.AnswerHold(rig.Answer({ { foreign, 10 } }));
  REQUIRE(rig.stops.size() == 1);
  CHECK(rig.stops[0].key == foreign);
  rig.Order(1);
  CHECK(rig.starts.empty());
  rig.AnswerHold(rig.Answer());
  CHECK(rig.starts.size() == 1);
}

TEST_CASE("a start without an answer keeps its room until it can't happen")
{
  Rig rig;
  rig.Adopt();
  rig.Order(2);
  for (int i = 0; i < 3; ++i) {
    rig.keeper.OnStartAnswered(
      rig.Key(0), rig.token, StartResult::Unknown, rig.now);
  }
  // Two further tries, then a stop.
  CHECK(rig.starts.size() == 4);
  REQUIRE(rig.stops.size() == 1);
  CHECK(rig.keeper.Status(kEntry, rig.now).cpuFree == 0);
  rig.Pass(Milliseconds(5));
  rig.keeper.OnStopAnswered(
    rig.Key(0), rig.token, StopResult::Accepted, rig.now);
  // A look that was asked for before the stop proves nothing.
  rig.AnswerHold(rig.Answer());
  CHECK(rig.ends.empty());
  rig.Pass(Milliseconds(5));
  rig.AnswerHold(rig.Answer());
  rig.AnswerHold(rig.Answer());
  CHECK(rig.ends == std::vector{ RunOutcome::RefusedByWorker });
  CHECK(rig.keeper.Status(kEntry, rig.now).cpuFree == 1000);
}

TEST_CASE("a further try's refusal doesn't tell what became of the first one")
{
  auto refusal = GENERATE(StartResult::NotReached,
                          StartResult::NoRoom,
                          StartResult::OldRun,
                          StartResult::Fenced,
                          StartResult::Late,
                          StartResult::Unhealthy,
                          StartResult::Rejected);
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Unknown, rig.now);
  REQUIRE(rig.starts.size() == 2);
  rig.keeper.OnStartAnswered(rig.Key(0), rig.token, refusal, rig.now);
  // Its job must not be rejected as not run, nor the task start elsewhere.
  CHECK(rig.ends.empty());
  CHECK(rig.keeper.Status(kEntry, rig.now).cpuFree == 1000);
  SECTION("the runner had started it before it crashed")
  {
    rig.born += 5000;
    rig.sequence = 0;
    rig.holds.clear();
    rig.keeper.OnRunnerReport(rig.Report(), rig.now);
    rig.AnswerHold(rig.Answer());
    CHECK(rig.ends == std::vector{ RunOutcome::Stopped });
  }
  SECTION("it had started and ended")
  {
    rig.holds.clear();
    rig.Pass(Milliseconds(100));
    rig.keeper.OnTick(rig.now);
    rig.AnswerHold(rig.Answer({}, { { 1, rig.Key(0), EndKind::Done } }));
    CHECK(rig.ends == std::vector{ RunOutcome::Done });
  }
}

TEST_CASE("a start whose answer was lost goes on when a look shows it")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.AnswerHold(rig.Answer({ { rig.Key(0), 5 } }));
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Unknown, rig.now);
  CHECK(rig.starts.size() == 1);
  CHECK(rig.stops.empty());
}

TEST_CASE("a former life's report that comes late changes nothing")
{
  Rig rig;
  auto old = rig.Report();
  rig.born += 5000;
  rig.Adopt();
  rig.keeper.OnRunnerReport(old, rig.now);
  rig.AnswerHold(rig.Answer());
  rig.Order(1);
  CHECK(rig.starts.size() == 1);
}

TEST_CASE("a new life of the runner ends what ran in the former one")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  auto formerToken = rig.token;
  rig.born += 5000;
  rig.clockMs = 10;
  rig.sequence = 0;
  rig.keeper.OnRunnerReport(rig.Report(), rig.now);
  rig.AnswerHold(rig.Answer());
  CHECK(rig.ends == std::vector{ RunOutcome::Stopped });
  CHECK(rig.token > formerToken);
}

namespace {
/** A start is called, and then its runner turns out to be in another life. */
void
CallStartBeforeNextLife(Rig& aRig)
{
  aRig.Adopt();
  aRig.Order(1);
  aRig.keeper.OnStartAnswered(
    aRig.Key(0), aRig.token, StartResult::Started, aRig.now);
  aRig.born += 5000;
  aRig.clockMs = 10;
  aRig.sequence = 0;
  aRig.holds.clear();
  aRig.keeper.OnRunnerReport(aRig.Report(), aRig.now);
}
}

TEST_CASE("a run that reached the runner's next life is followed there")
{
  Rig rig;
  CallStartBeforeNextLife(rig);
  rig.AnswerHold(rig.Answer({ { rig.Key(0), 30 } }));
  // Told of as stopped, it would be given to another worker while it runs.
  CHECK(rig.ends.empty());
  CHECK(rig.stops.empty());
  CHECK(rig.keeper.Status(kEntry, rig.now).cpuFree == 1000);
  rig.AnswerHold(rig.Answer({}, { { 1, rig.Key(0), EndKind::Done } }));
  CHECK(rig.ends == std::vector{ RunOutcome::Done });
}

TEST_CASE("a run that has ended in the runner's next life is told of as it was")
{
  Rig rig;
  CallStartBeforeNextLife(rig);
  rig.AnswerHold(rig.Answer({}, { { 1, rig.Key(0), EndKind::Done } }));
  CHECK(rig.ends == std::vector{ RunOutcome::Done });
}

TEST_CASE("a stop that the former life took is asked of the next one")
{
  Rig rig;
  CallStartBeforeNextLife(rig);
  rig.keeper.OnCancel(
    kEntry, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, rig.now);
  rig.keeper.OnStopAnswered(
    rig.Key(0), rig.token, StopResult::Accepted, rig.now);
  rig.stops.clear();
  rig.AnswerHold(rig.Answer({ { rig.Key(0), 30 } }));
  rig.keeper.OnTick(rig.now);
  REQUIRE(rig.stops.size() == 1);
  CHECK(rig.stops.front().target.token == rig.token);
}

TEST_CASE("a runner that can't be reached takes nothing until it answers")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::NotReached, rig.now);
  CHECK_FALSE(rig.keeper.Status(kEntry, rig.now).accepting);
  rig.Pass(Milliseconds(60));
  rig.keeper.OnTick(rig.now);
  REQUIRE_FALSE(rig.holds.empty());
  rig.AnswerHold(rig.Answer());
  CHECK(rig.keeper.Status(kEntry, rig.now).accepting);
}

TEST_CASE("a runner that refuses connections is asked each 50 ms")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  int looks = 0;
  for (int i = 0; i < 100; ++i) {
    auto holds = std::move(rig.holds);
    rig.holds.clear();
    for (const auto& hold : holds) {
      ++looks;
      HoldAnswer refused;
      refused.result = HoldResult::NotReached;
      rig.keeper.OnHoldAnswered(hold.first, refused, rig.now);
    }
    rig.Pass(Milliseconds(5));
    rig.keeper.OnVouched(kEntry, rig.now);
    rig.keeper.OnTick(rig.now);
  }
  CHECK_FALSE(rig.keeper.Status(kEntry, rig.now).accepting);
  CHECK(looks <= 11);
  CHECK(looks >= 5);
}

TEST_CASE("what a silent runner was given lapses and goes to others")
{
  Rig rig;
  rig.Adopt();
  // Leases that a former process gave are over.
  rig.Pass(Milliseconds(2000));
  rig.Vouch();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  auto silentAt = rig.now;
  while (rig.ends.empty() && rig.now < silentAt + Milliseconds(5000)) {
    rig.Pass(Milliseconds(25));
    rig.keeper.OnVouched(kEntry, rig.now);
    rig.keeper.OnTick(rig.now);
    auto lease = rig.holds.empty() ? 0 : rig.holds.back().second.leaseUntilMs;
    bool isRenewal = lease > rig.clockMs + 900;
    CHECK_FALSE((isRenewal && rig.now > silentAt + Milliseconds(250)));
  }
  // Not before the last lease is over, even on a slow clock.
  CHECK(rig.now > silentAt + Milliseconds(1020));
  CHECK(rig.now < silentAt + Milliseconds(1500));
  CHECK(rig.ends == std::vector{ RunOutcome::Stopped });
}

TEST_CASE("lost starts are made again sooner at a runner that answers quickly")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  CHECK(rig.starts.back().timeout == Milliseconds(60));
  rig.Pass(Milliseconds(2));
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  rig.AnswerHold(rig.Answer({}, { { 1, rig.Key(0), EndKind::Done } }));
  rig.Order(2);
  CHECK(rig.starts.back().timeout == Milliseconds(20));
}

TEST_CASE("looks and stops that fail at once are not repeated at once")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  rig.AnswerHold({});
  CHECK(rig.holds.empty());
  rig.Pass(Milliseconds(25));
  rig.keeper.OnTick(rig.now);
  CHECK(rig.holds.size() == 1);
  rig.keeper.OnCancel(
    kEntry, { kJob, { { 0, 1 } }, protocol::CancelScope::All }, rig.now);
  REQUIRE(rig.stops.size() == 1);
  rig.keeper.OnStopAnswered(
    rig.Key(0), rig.token, StopResult::Unknown, rig.now);
  CHECK(rig.stops.size() == 1);
  rig.Pass(Milliseconds(25));
  rig.keeper.OnTick(rig.now);
  CHECK(rig.stops.size() == 2);
}

TEST_CASE("a withdrawal spares what runs")
{
  Rig rig;
  rig.Adopt();
  rig.Order(3);
  rig.keeper.OnCancel(
    kEntry,
    { kJob, { { 0, 1 }, { 2, 1 } }, protocol::CancelScope::Waiting },
    rig.now);
  CHECK(rig.stops.empty());
  CHECK(rig.ends ==
        std::vector{ RunOutcome::StillRunning, RunOutcome::Cancelled });
}

TEST_CASE("a task that stands still is stopped and told of as stuck")
{
  Rig rig;
  rig.Adopt();
  rig.Order(1);
  rig.keeper.OnStartAnswered(
    rig.Key(0), rig.token, StartResult::Started, rig.now);
  for (int i = 0; i < 10 && rig.stops.empty(); ++i) {
    rig.Pass(Milliseconds(50));
    rig.keeper.OnVouched(kEntry, rig.now);
    rig.keeper.OnTick(rig.now);
    if (!rig.holds.empty()) {
      rig.AnswerHold(rig.Answer({ { rig.Key(0), 0 } }));
    }
  }
  REQUIRE(rig.stops.size() == 1);
  rig.AnswerHold(rig.Answer({}, { { 1, rig.Key(0), EndKind::Stopped } }));
  CHECK(rig.ends == std::vector{ RunOutcome::Stuck });
}

TEST_CASE("a graceful stop gives back what waits and lets the rest end")
{
  Rig rig;
  rig.Adopt();
  rig.Order(3);
  rig.keeper.BeginStop(rig.now);
  CHECK(rig.ends == std::vector{ RunOutcome::Leaving });
  CHECK(rig.stops.empty());
  CHECK_FALSE(rig.keeper.IsIdle());
  CHECK_FALSE(rig.keeper.Status(kEntry, rig.now).accepting);
}
