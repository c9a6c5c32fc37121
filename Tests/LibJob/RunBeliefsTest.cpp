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
