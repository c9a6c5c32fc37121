#include "Tests/LibDispatch/World.h"

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
  /** Its entry died under it. */
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
RandomStep(World& aWorld, History& aHistory, bool aMayKillAgents)
{
  auto entry = *rc::gen::inRange<std::size_t>(0, kEntries);
  auto agent = *rc::gen::inRange<std::size_t>(0, kAgents);
  switch (*rc::gen::inRange(0, 16)) {
    case 0:
    case 1:
    case 2: {
      if (aWorld.IsPaused(entry)) {
        return;
      }
      auto id = *rc::gen::inRange(0, 4);
      auto tasks = static_cast<std::size_t>(1 + 5 * id);
      aHistory.callers.push_back(
        { aWorld.Submit(entry, id, tasks), entry, id, tasks });
      return;
    }
    case 3:
      return aWorld.CutLink(entry, agent);
    case 4:
      aWorld.KillEntry(entry);
      for (auto& caller : aHistory.callers) {
        caller.isLost = caller.isLost || caller.entry == entry;
      }
      return;
    case 5:
      return aWorld.PauseEntry(entry);
    case 6:
      return aWorld.WakeEntry(entry);
    case 7:
      aHistory.agentPaused = true;
      return aWorld.PauseAgent(agent);
    case 8:
      return aWorld.WakeAgent(agent);
    case 9:
      if (aMayKillAgents) {
        aHistory.agentDied = true;
        aWorld.KillAgent(agent);
      }
      return;
    case 10:
      return aWorld.SetDomain(agent, *rc::gen::arbitrary<bool>());
    case 11:
      aWorld.Table().nextFault = &RandomFault;
      return;
    case 12:
      aWorld.Table().nextFault = [] { return Fault::None; };
      return;
    case 13:
      if (aMayKillAgents) {
        aHistory.cancelled = true;
        aWorld.Cancel(entry, *rc::gen::inRange(0, 4));
      }
      return;
    default:
      return aWorld.Advance(Milliseconds(*rc::gen::inRange(50, 9000)));
  }
}

void
CheckHistory(bool aMayKillAgents)
{
  World world(kEntries, kAgents);
  History history;
  world.Advance(2s);
  auto steps = *rc::gen::inRange(5, 50);
  for (int i = 0; i < steps; ++i) {
    RandomStep(world, history, aMayKillAgents);
    world.Advance(100ms);
  }
  world.Heal();
  // Whoever lost its entry submits again, as clients do.
  for (auto& caller : history.callers) {
    if (caller.isLost) {
      auto entry = 1 - caller.entry;
      caller = { world.Submit(entry, caller.id, caller.tasks),
                 entry,
                 caller.id,
                 caller.tasks };
    }
  }
  world.Advance(60s);
  auto& judge = world.TheJudge();
  judge.CheckNotRun();
  RC_LOG() << (judge.violations.empty() ? "" : judge.violations[0]) << "\n";
  RC_ASSERT(judge.violations.empty());
  for (const auto& caller : history.callers) {
    auto answer = judge.answers.find(caller.waiter);
    RC_ASSERT(answer != judge.answers.end());
    if (!history.agentDied && !history.cancelled) {
      // Nothing was lost for good, so a naive dispatcher would finish it.
      RC_LOG() << "s" << caller.id << " "
               << AnswerStateName(answer->second.state) << " "
               << AnswerReasonName(answer->second.reason) << "\n";
      // Neither a takeover nor an owner waits for ever for an agent that is
      // stopped and whose link is gone.
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

TEST_CASE("whatever happens to entries, links and the table, nothing that the "
          "judge forbids happens and everything is finished",
          "[differential]")
{
  CHECK(rc::check([] { CheckHistory(false); }));
}

TEST_CASE("when agents die as well, nothing that the judge forbids happens "
          "and every caller is answered",
          "[differential]")
{
  CHECK(rc::check([] { CheckHistory(true); }));
}
