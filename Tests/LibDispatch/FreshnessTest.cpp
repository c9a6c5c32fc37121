#include "LibDispatch/MemberTable.h"
#include "LibDispatch/VersionFreshness.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::dispatch;
using namespace std::chrono_literals;

namespace {
const MonotonicTime kStart{ 1000s };

MemberRow
Row(const char* aEntry, std::uint64_t aIncarnation, std::uint64_t aVersion)
{
  return { { EntryId(aEntry), Incarnation(aIncarnation) }, "", aVersion };
}
}

TEST_CASE("a majority vouches as of its oldest contact, and less vouches not")
{
  VersionFreshness freshness(EntryId("a"));
  CHECK_FALSE(freshness.VouchedAt(kStart));
  freshness.SetMembers(
    { EntryId("a"), EntryId("b"), EntryId("c"), EntryId("d"), EntryId("e") });
  freshness.OnPeerContact(EntryId("b"), kStart - 1s);
  CHECK_FALSE(freshness.VouchedAt(kStart));
  freshness.OnPeerContact(EntryId("c"), kStart - 5s);
  CHECK(freshness.VouchedAt(kStart) == kStart - 5s);
  freshness.OnPeerContact(EntryId("x"), kStart);
  CHECK(freshness.VouchedAt(kStart) == kStart - 5s);
  freshness.OnTableRead(kStart - 2s);
  CHECK(freshness.VouchedAt(kStart) == kStart - 2s);
}

TEST_CASE("an entry without a row of its own is vouched for by the table only")
{
  VersionFreshness freshness(EntryId("a"));
  freshness.SetMembers({ EntryId("b") });
  freshness.OnPeerContact(EntryId("b"), kStart);
  CHECK_FALSE(freshness.VouchedAt(kStart));
}

TEST_CASE("a lease lapses only through reads that follow each other")
{
  MemberTable members(6s, 3s);
  EntryIdentity holder{ EntryId("a"), Incarnation(1) };
  CHECK_FALSE(members.IsLapsed(holder));
  members.Observe({ Row("a", 1, 10) }, kStart);
  for (int i = 1; i <= 6; ++i) {
    members.Observe({ Row("a", 1, 10) }, kStart + i * 1s);
    CHECK_FALSE(members.IsLapsed(holder));
  }
  members.Observe({ Row("a", 1, 10) }, kStart + 7s);
  CHECK(members.IsLapsed(holder));
  // It renewed after all; then the table is silent for a minute.
  members.Observe({ Row("a", 1, 11) }, kStart + 8s);
  CHECK_FALSE(members.IsLapsed(holder));
  members.Observe({ Row("a", 1, 11) }, kStart + 68s);
  CHECK_FALSE(members.IsLapsed(holder));
}

TEST_CASE("an earlier life and a missing row are lapsed at once")
{
  MemberTable members(6s, 3s);
  members.Observe({ Row("a", 2, 10) }, kStart);
  CHECK(members.IsLapsed({ EntryId("a"), Incarnation(1) }));
  CHECK_FALSE(members.IsLapsed({ EntryId("a"), Incarnation(2) }));
  CHECK(members.IsLapsed({ EntryId("b"), Incarnation(1) }));
}

TEST_CASE("a member is forgotten only by a majority of all rows")
{
  MemberTable members(6s, 3s);
  auto observe = [&members](int aSecond, bool aTwoLive) {
    auto live = static_cast<std::uint64_t>(100 + aSecond);
    std::vector<MemberRow> rows{ Row("a", 1, live), Row("b", 1, 1) };
    if (aTwoLive) {
      rows.push_back(Row("c", 1, live));
    }
    members.Observe(rows, kStart + aSecond * 1s);
  };
  for (int i = 0; i < 60; ++i) {
    observe(i, false);
  }
  CHECK(members.Forgettable(kStart + 59s).empty());
  for (int i = 60; i < 70; ++i) {
    observe(i, true);
  }
  REQUIRE(members.Forgettable(kStart + 69s).size() == 1);
  CHECK(members.Forgettable(kStart + 69s)[0].identity.entry == EntryId("b"));
}
