#include "LibPlatform/ClaimKeeper.h"
#include "Tests/LibPlatform/NaiveTable.h"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <set>

using namespace vanillaworks;
using namespace vanillaworks::platform;
using namespace vanillaworks::test;

namespace {
struct Client
{
  Client(NaiveTable& aTable, NaiveObjects& aObjects, const char* aName)
    : keeper(aTable, aObjects, {})
    , self{ EntryId(aName), Incarnation(1) }
  {
  }

  void Claim(int aId)
  {
    SubmissionId id("s" + std::to_string(aId));
    keeper.Add(
      { self,
        ClaimOperation{ id, "d", WallTime{} },
        [this, aId](dispatch::ClaimOutcome aOutcome) {
          ++answers;
          if (std::holds_alternative<dispatch::ClaimGranted>(aOutcome)) {
            granted.insert(aId);
          }
        },
        {} });
    ++asked;
  }

  void Record(int aId)
  {
    SubmissionId id("s" + std::to_string(aId));
    dispatch::Answer answer{
      id, dispatch::AnswerState::Failed, dispatch::AnswerReason::TaskFailed, {}
    };
    keeper.Add(
      { self,
        RecordOperation{ answer, "d", WallTime{} },
        [this, aId](dispatch::ClaimOutcome aOutcome) {
          ++answers;
          if (std::holds_alternative<dispatch::ClaimRecorded>(aOutcome)) {
            recorded.insert(aId);
          }
        },
        {} });
    ++asked;
  }

  ClaimKeeper keeper;
  dispatch::EntryIdentity self;
  std::set<int> granted;
  std::set<int> recorded;
  int asked = 0;
  int answers = 0;
};
}

TEST_CASE("a claim is granted to one entry at most and each question is "
          "answered, whatever answers are lost",
          "[differential][invariant-6]")
{
  CHECK(rc::check([] {
    NaiveTable table;
    NaiveObjects objects;
    Client first(table, objects, "a");
    Client second(table, objects, "b");
    std::set<int> asked[2];
    auto steps = *rc::gen::inRange(1, 40);
    table.nextFault = [] {
      return *rc::gen::element(Fault::None,
                               Fault::None,
                               Fault::LostAnswer,
                               Fault::LostRequest,
                               Fault::Unavailable);
    };
    for (int step = 0; step < steps; ++step) {
      auto who = *rc::gen::inRange(0, 2);
      auto& client = who == 0 ? first : second;
      auto id = *rc::gen::inRange(0, 6);
      if (asked[who].insert(id).second) {
        client.Claim(id);
      }
      (void)client.keeper.Step();
      if (client.granted.contains(id) && *rc::gen::arbitrary<bool>() &&
          !client.recorded.contains(id + 100)) {
        client.recorded.insert(id + 100);
        client.Record(id);
      }
    }
    table.nextFault = [] { return Fault::None; };
    for (int i = 0; i < 6; ++i) {
      (void)first.keeper.Step();
      (void)second.keeper.Step();
    }
    RC_ASSERT(first.answers == first.asked);
    RC_ASSERT(second.answers == second.asked);
    for (int id = 0; id < 6; ++id) {
      RC_ASSERT(!first.granted.contains(id) || !second.granted.contains(id));
      bool isAsked = asked[0].contains(id) || asked[1].contains(id);
      bool isGranted =
        first.granted.contains(id) || second.granted.contains(id);
      RC_ASSERT(isAsked == isGranted);
    }
  }));
}

TEST_CASE("many claims and outcomes share few transactions")
{
  NaiveTable table;
  NaiveObjects objects;
  Client client(table, objects, "a");
  for (int id = 0; id < 200; ++id) {
    client.Claim(id);
  }
  CHECK(client.keeper.Step() == KeeperResult::Progress);
  CHECK(client.granted.size() == 200);
  for (int id = 0; id < 200; ++id) {
    client.Record(id);
  }
  CHECK(client.keeper.Step() == KeeperResult::Progress);
  CHECK(client.recorded.size() == 200);
  CHECK(table.sequence == 2);
}

TEST_CASE("a takeover fences the owner and lists the agents entered so far")
{
  NaiveTable table;
  NaiveObjects objects;
  Client first(table, objects, "a");
  Client second(table, objects, "b");
  first.Claim(1);
  (void)first.keeper.Step();
  std::optional<RegisterOutcome> early;
  second.keeper.Add({ second.self,
                      RegisterOperation{ UpstreamId("u"), Incarnation(5) },
                      {},
                      [&](RegisterOutcome aOutcome) { early = aOutcome; } });
  (void)second.keeper.Step();
  (void)second.keeper.Step();
  REQUIRE(early);
  CHECK(early->fences.empty());

  std::optional<dispatch::ClaimTakenOver> taken;
  second.keeper.Add(
    { second.self,
      TakeOverOperation{ SubmissionId("s1"), "d", WallTime{}, first.self },
      [&](dispatch::ClaimOutcome aOutcome) {
        taken = std::get<dispatch::ClaimTakenOver>(aOutcome);
      },
      {} });
  (void)second.keeper.Step();
  (void)second.keeper.Step();
  REQUIRE(taken);
  REQUIRE(taken->upstreams.size() == 1);
  CHECK(taken->upstreams[0].incarnation == Incarnation(5));

  std::optional<RegisterOutcome> late;
  second.keeper.Add({ second.self,
                      RegisterOperation{ UpstreamId("v"), Incarnation(6) },
                      {},
                      [&](RegisterOutcome aOutcome) { late = aOutcome; } });
  (void)second.keeper.Step();
  (void)second.keeper.Step();
  REQUIRE(late);
  CHECK(late->fences.at(EntryId("a")) == Incarnation(1));
  // The former owner can no longer record an outcome.
  first.Record(1);
  (void)first.keeper.Step();
  (void)first.keeper.Step();
  CHECK(first.recorded.empty());
  CHECK(first.answers == 2);
}
