#include "LibPlatform/OperationBatcher.h"
#include "Tests/LibPlatform/InMemoryTable.h"

#include <catch2/catch.hpp>
#include <memory>
#include <rapidcheck.h>
#include <set>

using namespace vanillaworks;
using namespace vanillaworks::platform;
using namespace vanillaworks::test;

namespace {
struct TestEntry
{
  TestEntry(InMemoryTable& aTable,
            InMemoryObjectStore& aObjects,
            const char* aName)
    : batcher(aTable, aObjects, {})
    , self{ EntryId(aName), Incarnation(1) }
  {
  }

  void Claim(int aId)
  {
    SubmissionId id("s" + std::to_string(aId));
    batcher.Add(
      { self,
        ClaimOperation{ id, "d", WallTime{} },
        [this, aId](dispatch::ClaimOutcome aOutcome) {
          ++completed;
          if (std::holds_alternative<dispatch::ClaimGranted>(aOutcome)) {
            granted.insert(aId);
          }
        },
        {} });
    ++submitted;
  }

  void Record(int aId)
  {
    SubmissionId id("s" + std::to_string(aId));
    dispatch::Answer answer{
      id, dispatch::AnswerState::Failed, dispatch::AnswerReason::TaskFailed, {}
    };
    batcher.Add(
      { self,
        RecordOperation{ answer, "d", WallTime{} },
        [this, aId](dispatch::ClaimOutcome aOutcome) {
          ++completed;
          if (std::holds_alternative<dispatch::ClaimRecorded>(aOutcome)) {
            recorded.insert(aId);
          }
        },
        {} });
    ++submitted;
  }

  OperationBatcher batcher;
  dispatch::EntryIdentity self;
  std::set<int> granted;
  std::set<int> recorded;
  int submitted = 0;
  int completed = 0;
};
}

TEST_CASE("a claim is granted to at most one entry and every operation "
          "completes when responses are lost",
          "[differential][invariant-6]")
{
  CHECK(rc::check([] {
    InMemoryTable table;
    InMemoryObjectStore objects;
    TestEntry first(table, objects, "a");
    TestEntry second(table, objects, "b");
    std::set<int> submitted[2];
    auto steps = *rc::gen::inRange(1, 40);
    table.nextFault = [] {
      return *rc::gen::element(Fault::None,
                               Fault::None,
                               Fault::ResponseLost,
                               Fault::RequestLost,
                               Fault::Unavailable);
    };
    for (int step = 0; step < steps; ++step) {
      auto entryIndex = *rc::gen::inRange(0, 2);
      auto& entry = entryIndex == 0 ? first : second;
      auto id = *rc::gen::inRange(0, 6);
      if (submitted[entryIndex].insert(id).second) {
        entry.Claim(id);
      }
      (void)entry.batcher.Step();
      if (entry.granted.contains(id) && *rc::gen::arbitrary<bool>() &&
          !entry.recorded.contains(id + 100)) {
        entry.recorded.insert(id + 100);
        entry.Record(id);
      }
    }
    table.nextFault = [] { return Fault::None; };
    for (int i = 0; i < 6; ++i) {
      (void)first.batcher.Step();
      (void)second.batcher.Step();
    }
    RC_ASSERT(first.completed == first.submitted);
    RC_ASSERT(second.completed == second.submitted);
    for (int id = 0; id < 6; ++id) {
      RC_ASSERT(!first.granted.contains(id) || !second.granted.contains(id));
      bool isRequested = submitted[0].contains(id) || submitted[1].contains(id);
      bool isGranted =
        first.granted.contains(id) || second.granted.contains(id);
      RC_ASSERT(isRequested == isGranted);
    }
  }));
}

TEST_CASE("many claims and recorded answers share few transactions")
{
  InMemoryTable table;
  InMemoryObjectStore objects;
  TestEntry entry(table, objects, "a");
  for (int id = 0; id < 200; ++id) {
    entry.Claim(id);
  }
  CHECK(entry.batcher.Step() == BatchResult::Progress);
  CHECK(entry.granted.size() == 200);
  for (int id = 0; id < 200; ++id) {
    entry.Record(id);
  }
  CHECK(entry.batcher.Step() == BatchResult::Progress);
  CHECK(entry.recorded.size() == 200);
  CHECK(table.sequence == 2);
}

TEST_CASE("a takeover fences the owner and lists the agents registered so far")
{
  InMemoryTable table;
  InMemoryObjectStore objects;
  TestEntry first(table, objects, "a");
  TestEntry second(table, objects, "b");
  first.Claim(1);
  (void)first.batcher.Step();
  std::optional<RegisterOutcome> early;
  second.batcher.Add({ second.self,
                       RegisterOperation{ UpstreamId("u"), Incarnation(5) },
                       {},
                       [&](RegisterOutcome aOutcome) { early = aOutcome; } });
  (void)second.batcher.Step();
  (void)second.batcher.Step();
  REQUIRE(early);
  CHECK(early->fences.empty());

  std::optional<dispatch::ClaimTakenOver> taken;
  second.batcher.Add(
    { second.self,
      TakeOverOperation{ SubmissionId("s1"), "d", WallTime{}, first.self },
      [&](dispatch::ClaimOutcome aOutcome) {
        taken = std::get<dispatch::ClaimTakenOver>(aOutcome);
      },
      {} });
  (void)second.batcher.Step();
  (void)second.batcher.Step();
  REQUIRE(taken);
  REQUIRE(taken->upstreams.size() == 1);
  CHECK(taken->upstreams[0].incarnation == Incarnation(5));

  std::optional<RegisterOutcome> late;
  second.batcher.Add({ second.self,
                       RegisterOperation{ UpstreamId("v"), Incarnation(6) },
                       {},
                       [&](RegisterOutcome aOutcome) { late = aOutcome; } });
  (void)second.batcher.Step();
  (void)second.batcher.Step();
  REQUIRE(late);
  CHECK(late->fences.at(EntryId("a")) == Incarnation(1));
  // The former owner can no longer record an outcome.
  first.Record(1);
  (void)first.batcher.Step();
  (void)first.batcher.Step();
  CHECK(first.recorded.empty());
  CHECK(first.completed == 2);
}
