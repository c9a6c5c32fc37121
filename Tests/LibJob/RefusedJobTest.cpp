#include "Tests/LibJob/RunSupervisorFixture.h"
#include "Tests/LibJob/SimulatedJobCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::tests;
using job::EndKind;
using protocol::RunOutcome;

namespace {
std::vector<std::string>
FalseRejections(const SimulatedJobCluster& aCluster)
{
  std::vector<std::string> found;
  std::copy_if(
    aCluster.Violations().begin(),
    aCluster.Violations().end(),
    std::back_inserter(found),
    [](const auto& aText) { return aText.find("reject") != aText.npos; });
  return found;
}

/** Half of all starts are carried out seconds later, and runners crash. */
void
PlayLateStartsAndCrashes(int aAgents, std::uint64_t aSeed)
{
  INFO("agents " << aAgents << ", seed " << aSeed);
  JobClusterOptions options;
  options.seed = aSeed;
  options.agents = aAgents;
  options.lostCalls = 0.5;
  options.lateCalls = 1;
  SimulatedJobCluster cluster(options);
  for (int at = 0; at < 6000; at += 60) {
    cluster.Schedule(Milliseconds(at), [&cluster] {
      cluster.Submit({ 2, Milliseconds(100) });
    });
  }
  for (int i = 0; i < 12; ++i) {
    cluster.Run(Milliseconds(700));
    cluster.CrashRunner((static_cast<int>(aSeed) + i) % aAgents);
  }
  cluster.Run(Milliseconds(12'000));
  CHECK(FalseRejections(cluster).empty());
}
}

TEST_CASE("a refused job doesn't start in a runner's next life")
{
  constexpr std::uint64_t kHistories = VANILLAWORKS_PROPERTY_RUNS;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    PlayLateStartsAndCrashes(2, seed);
    PlayLateStartsAndCrashes(3, seed);
  }
}

namespace {
const EntryId kSecondEntry("entry-2");

/** Two entries have ordered the same task; the first one's run is active. */
struct TaskOfTwoEntries : RunSupervisorFixture
{
  TaskOfTwoEntries()
  {
    StartRun();
    AdvanceTime(Milliseconds(10));
    Link({});
    protocol::RunOrder order;
    order.job = kJob;
    order.tasks = { { 0, 1 } };
    supervisor.OnOrder(kSecondEntry, order, now);
  }
  void Link(std::vector<protocol::RunCancel> aAwaited)
  {
    supervisor.OnResume({ kSecondEntry, Incarnation(2), std::move(aAwaited) },
                        now);
    supervisor.OnRevalidated(kSecondEntry, now);
  }
  std::vector<RunOutcome> EndsFor(const EntryId& aEntry) const
  {
    std::vector<RunOutcome> found;
    for (const auto& event : events) {
      if (event.entry == aEntry) {
        found.push_back(event.end.outcome);
      }
    }
    return found;
  }
};
}

TEST_CASE("a second entry isn't told that a task didn't start while it runs")
{
  TaskOfTwoEntries fixture;
  SECTION("it waits until the first entry's run has ended")
  {
    CHECK(fixture.EndsFor(kSecondEntry).empty());
    fixture.AnswerHold(
      fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Stopped } }));
  }
  SECTION("it cancels its order")
  {
    fixture.supervisor.OnCancel(
      kSecondEntry,
      { kJob, { { 0, 1 } }, protocol::CancelScope::All },
      fixture.now);
  }
  SECTION("its link opens again")
  {
    fixture.Link({ { kJob, { { 0, 1 } }, {} } });
    CHECK(fixture.EndsFor(kSecondEntry).empty());
    fixture.AnswerHold(
      fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Stopped } }));
  }
  REQUIRE(fixture.EndsFor(kSecondEntry).size() == 1);
  CHECK_FALSE(protocol::NeverStarted(fixture.EndsFor(kSecondEntry).front()));
}

TEST_CASE("an order that a second entry gives up is forgotten")
{
  TaskOfTwoEntries fixture;
  fixture.Link({});
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Stopped } }));
  CHECK(fixture.EndsFor(kSecondEntry).empty());
}

TEST_CASE("a run that ended isn't denied after its report is lost twice")
{
  RunSupervisorFixture fixture;
  fixture.StartRun();
  fixture.AnswerHold(
    fixture.Answer({}, { { 1, fixture.Key(0), EndKind::Done } }));
  // Each link breaks again before it has brought the report to the entry.
  for (int link = 0; link < 3; ++link) {
    fixture.AdvanceTime(Milliseconds(2500));
    fixture.supervisor.OnTick(fixture.now);
    fixture.ends.clear();
    fixture.supervisor.OnResume(
      { kEntry, Incarnation(1), { { kJob, { { 0, 1 } }, {} } } }, fixture.now);
    fixture.supervisor.OnRevalidated(kEntry, fixture.now);
    CHECK(fixture.ends == std::vector{ RunOutcome::Done });
  }
}
