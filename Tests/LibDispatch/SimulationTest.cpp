#include "Tests/LibDispatch/SimulatedCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace vanillaworks;
using namespace vanillaworks::test;
using namespace std::chrono_literals;
using dispatch::AnswerState;

namespace {
constexpr std::size_t kEntries = 2;
constexpr std::size_t kAgents = 3;

struct Caller
{
  WaiterId waiter;
  std::size_t entry;
  int id;
  std::size_t tasks;
  /** Whether its entry was killed after the submission. */
  bool isLost = false;
};

struct History
{
  std::vector<Caller> callers;
  bool agentDied = false;
  bool agentPaused = false;
  bool cancelled = false;
};

Fault
RandomFault()
{
  return *rc::gen::weightedElement<Fault>({ { 4, Fault::None },
                                            { 2, Fault::Unavailable },
                                            { 1, Fault::RequestLost },
                                            { 2, Fault::ResponseLost } });
}

void
RandomStep(SimulatedCluster& aCluster, History& aHistory, bool aMayKillAgents)
{
  auto entry = *rc::gen::inRange<std::size_t>(0, kEntries);
  auto agent = *rc::gen::inRange<std::size_t>(0, kAgents);
  switch (*rc::gen::inRange(0, 16)) {
    case 0:
    case 1:
    case 2: {
      if (aCluster.IsPaused(entry)) {
        return;
      }
      auto id = *rc::gen::inRange(0, 4);
      auto tasks = static_cast<std::size_t>(1 + 5 * id);
      aHistory.callers.push_back(
        { aCluster.Submit(entry, id, tasks), entry, id, tasks });
      return;
    }
    case 3:
      return aCluster.CutLink(entry, agent);
    case 4:
      aCluster.KillEntry(entry);
      for (auto& caller : aHistory.callers) {
        caller.isLost = caller.isLost || caller.entry == entry;
      }
      return;
    case 5:
      return aCluster.PauseEntry(entry);
    case 6:
      return aCluster.ResumeEntry(entry);
    case 7:
      aHistory.agentPaused = true;
      return aCluster.PauseAgent(agent);
    case 8:
      return aCluster.ResumeAgent(agent);
    case 9:
      if (aMayKillAgents) {
        aHistory.agentDied = true;
        aCluster.KillAgent(agent);
      }
      return;
    case 10:
      return aCluster.SetDomain(agent, *rc::gen::arbitrary<bool>());
    case 11:
      aCluster.Table().nextFault = &RandomFault;
      return;
    case 12:
      aCluster.Table().nextFault = [] { return Fault::None; };
      return;
    case 13:
      if (aMayKillAgents) {
        aHistory.cancelled = true;
        aCluster.Cancel(entry, *rc::gen::inRange(0, 4));
      }
      return;
    default:
      return aCluster.Advance(Milliseconds(*rc::gen::inRange(50, 9000)));
  }
}

void
CheckHistory(bool aMayKillAgents)
{
  SimulatedCluster cluster(kEntries, kAgents);
  History history;
  cluster.Advance(2s);
  auto steps = *rc::gen::inRange(5, 50);
  for (int i = 0; i < steps; ++i) {
    RandomStep(cluster, history, aMayKillAgents);
    cluster.Advance(100ms);
  }
  cluster.Recover();
  // Callers whose entry was killed resubmit to the other entry, as clients do.
  for (auto& caller : history.callers) {
    if (caller.isLost) {
      auto entry = 1 - caller.entry;
      caller = { cluster.Submit(entry, caller.id, caller.tasks),
                 entry,
                 caller.id,
                 caller.tasks };
    }
  }
  cluster.Advance(60s);
  auto& checker = cluster.Checker();
  checker.CheckNotRun();
  RC_LOG() << (checker.violations.empty() ? "" : checker.violations[0]) << "\n";
  RC_ASSERT(checker.violations.empty());
  for (const auto& caller : history.callers) {
    auto answer = checker.answers.find(caller.waiter);
    RC_ASSERT(answer != checker.answers.end());
    if (!history.agentDied && !history.cancelled) {
      // No state was lost permanently, so each submission can complete.
      RC_LOG() << "s" << caller.id << " "
               << AnswerStateName(answer->second.state) << " "
               << AnswerReasonName(answer->second.reason) << "\n";
      // A takeover or an owner gives up after a timeout if an agent is paused
      // and its link is down.
      auto reason = answer->second.reason;
      bool isGivenUp = history.agentPaused &&
                       answer->second.state == AnswerState::MayHaveRun &&
                       (reason == dispatch::AnswerReason::OwnerLost ||
                        reason == dispatch::AnswerReason::UpstreamLost);
      RC_ASSERT((isGivenUp || answer->second.state == AnswerState::Complete));
    }
  }
}
}

TEST_CASE("faults of entries, links and the table violate no invariant and all "
          "submissions complete",
          "[differential]")
{
  CHECK(rc::check([] { CheckHistory(false); }));
}

TEST_CASE("faults that include killed agents violate no invariant and every "
          "caller is answered",
          "[differential]")
{
  CHECK(rc::check([] { CheckHistory(true); }));
}
