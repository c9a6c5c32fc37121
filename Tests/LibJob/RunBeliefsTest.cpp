#include "LibJob/LostRunnerCounts.h"
#include "Tests/LibJob/RunSupervisorFixture.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::tests;
using job::EndKind;
using job::StartResult;
using protocol::LossState;
using protocol::RunOutcome;

namespace {
const EntryId kOther("entry-2");

struct TwoEntryFixture : RunSupervisorFixture
{
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override
  {
    if (auto* lost = std::get_if<protocol::LostRuns>(&aMessage)) {
      losses.emplace_back(aEntry, *lost);
    }
    if (auto* report = std::get_if<protocol::RunReport>(&aMessage)) {
      for (const auto& end : report->ends) {
        told.emplace_back(aEntry, end.outcome);
      }
    }
  }
  void LinkOther(std::vector<protocol::RunCancel> aAwaited)
  {
    supervisor.OnResume({ kOther, Incarnation(2), std::move(aAwaited) }, now);
    supervisor.OnRevalidated(kOther, now);
  }
  void OrderOf(const EntryId& aEntry, std::uint32_t aRun)
  {
    protocol::RunOrder order;
    order.job = kJob;
    order.cpu = 1000;
    order.estimateMs = 100;
    order.startWithinMs = 500;
    order.tasks = { { 0, aRun } };
    supervisor.OnOrder(aEntry, order, now);
  }
  std::vector<std::pair<EntryId, protocol::LostRuns>> losses;
  std::vector<std::pair<EntryId, RunOutcome>> told;
};
}

TEST_CASE("a lost answer to a blocked order doesn't become a denial")
{
  TwoEntryFixture fixture;
  fixture.StartRun();
  fixture.AdvanceTime(Milliseconds(10));
  fixture.LinkOther({});
  fixture.OrderOf(kOther, 1);
  // The second entry's link breaks; the report of this is lost with it.
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Stopped } }));
  fixture.told.clear();
  fixture.AdvanceTime(Milliseconds(300));
  fixture.LinkOther({ { kJob, { { 0, 1 } }, {} } });
  REQUIRE(fixture.told.size() == 1);
  INFO(protocol::RunOutcomeName(fixture.told[0].second));
  CHECK_FALSE(protocol::NeverStarted(fixture.told[0].second));
}

TEST_CASE("a crash after a silence is known on a new link")
{
  TwoEntryFixture fixture;
  fixture.StartRun();
  // Silent until the leases are over.
  for (int i = 0; i < 50; ++i) {
    fixture.AdvanceTime(Milliseconds(50));
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    auto holds = std::exchange(fixture.holds, {});
    for (const auto& hold : holds) {
      fixture.supervisor.OnHoldAnswered(hold.first, {}, fixture.now);
    }
    fixture.supervisor.OnTick(fixture.now);
  }
  REQUIRE(fixture.losses.size() == 1);
  REQUIRE(fixture.losses[0].second.state == LossState::Suspected);
  // The same incarnation answers again.
  for (int i = 0; i < 4; ++i) {
    fixture.AdvanceTime(Milliseconds(60));
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
    fixture.supervisor.OnTick(fixture.now);
    if (!fixture.holds.empty()) {
      fixture.AnswerHold(fixture.Answer());
    }
  }
  REQUIRE(fixture.losses.size() == 2);
  REQUIRE(fixture.losses[1].second.state == LossState::Retracted);
  // The task starts there again and crashes the runner.
  fixture.OrderOf(kEntry, 2);
  REQUIRE(fixture.starts.size() == 2);
  fixture.supervisor.OnStartAnswered(
    { kJob, { 0, 2 } }, fixture.token, StartResult::Started, fixture.now);
  fixture.AdvanceTime(Milliseconds(10));
  fixture.startedMs += 5000;
  fixture.clockMs = 10;
  fixture.sequence = 0;
  fixture.holds.clear();
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  fixture.AnswerHold(fixture.Answer());
  REQUIRE(fixture.losses.size() == 3);
  REQUIRE(fixture.losses[2].second.state == LossState::Confirmed);
  job::LostRunnerCounts counts;
  SECTION("an entry that was linked all the while")
  {
    for (const auto& loss : fixture.losses) {
      counts.Add(UpstreamId("u1"), loss.second, fixture.now);
    }
  }
  SECTION("an entry whose link opens now")
  {
    fixture.losses.clear();
    fixture.LinkOther({});
    for (const auto& loss : fixture.losses) {
      counts.Add(UpstreamId("u1"), loss.second, fixture.now);
    }
  }
  CHECK(counts.IsSuspect(kJob, 0));
}

TEST_CASE("other hardware under the same id doesn't inherit slowness")
{
  RunSupervisorFixture fixture;
  auto first = fixture.Report();
  first.labels = { "a" };
  first.learnedSlowness = 3000;
  fixture.supervisor.OnRunnerReport(first, fixture.now);
  fixture.AnswerHold(fixture.Answer());
  fixture.Order(1);
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), fixture.token, StartResult::Started, fixture.now);
  fixture.startedMs += 5000;
  fixture.clockMs = 10;
  fixture.sequence = 0;
  SECTION("it reports first")
  {
    auto second = fixture.Report();
    second.labels = { "b" };
    fixture.supervisor.OnRunnerReport(second, fixture.now);
    fixture.AnswerHold(fixture.Answer());
  }
  SECTION("it answers a hold call first")
  {
    fixture.AnswerHold(fixture.Answer());
    fixture.AnswerHold(fixture.Answer());
    auto second = fixture.Report();
    second.labels = { "b" };
    fixture.supervisor.OnRunnerReport(second, fixture.now);
  }
  REQUIRE(fixture.saved.back().labels == std::vector<std::string>{ "b" });
  CHECK(fixture.saved.back().learnedSlowness == 0);
  CHECK(fixture.supervisor.Status(kEntry, fixture.now).slownessPermille ==
        1000);
}

TEST_CASE("the answer to a former start call ends no later run")
{
  TwoEntryFixture fixture;
  fixture.Adopt();
  fixture.Order(1);
  REQUIRE(fixture.starts.size() == 1);
  auto formerToken = fixture.token;
  fixture.startedMs += 5000;
  fixture.clockMs = 10;
  fixture.sequence = 0;
  fixture.supervisor.OnRunnerReport(fixture.Report(), fixture.now);
  fixture.AnswerHold(fixture.Answer());
  fixture.LinkOther({});
  fixture.OrderOf(kOther, 1);
  REQUIRE(fixture.starts.size() == 2);
  fixture.told.clear();
  fixture.supervisor.OnStartAnswered(
    fixture.Key(0), formerToken, StartResult::Fenced, fixture.now);
  CHECK(fixture.told.empty());
}

TEST_CASE("a first report numbered 0 counts after an inferred one")
{
  RunSupervisorFixture fixture;
  fixture.Adopt();
  fixture.Order(1);
  fixture.startedMs += 5000;
  fixture.clockMs = 10;
  fixture.AnswerHold(fixture.Answer());
  fixture.AnswerHold(fixture.Answer());
  auto report = fixture.Report();
  report.sequence = 0;
  fixture.supervisor.OnRunnerReport(report, fixture.now);
  fixture.OrderFor(SubmissionId("00000000000000bb"), 1, 500, 0);
  CHECK(fixture.starts.size() == 2);
}
