#include "LibDispatch/MembershipView.h"
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

TEST_CASE(
  "a majority revalidates as of its oldest contact; a minority does not")
{
  VersionFreshness freshness(EntryId("a"));
  CHECK_FALSE(freshness.RevalidatedAt(kStart));
  freshness.SetMembers(
    { EntryId("a"), EntryId("b"), EntryId("c"), EntryId("d"), EntryId("e") });
  freshness.OnPeerContact(EntryId("b"), kStart - 1s);
  CHECK_FALSE(freshness.RevalidatedAt(kStart));
  freshness.OnPeerContact(EntryId("c"), kStart - 5s);
  CHECK(freshness.RevalidatedAt(kStart) == kStart - 5s);
  freshness.OnPeerContact(EntryId("x"), kStart);
  CHECK(freshness.RevalidatedAt(kStart) == kStart - 5s);
  freshness.OnTableRead(kStart - 2s);
  CHECK(freshness.RevalidatedAt(kStart) == kStart - 2s);
}

TEST_CASE("only the table revalidates an entry without a row of its own")
{
  VersionFreshness freshness(EntryId("a"));
  freshness.SetMembers({ EntryId("b") });
  freshness.OnPeerContact(EntryId("b"), kStart);
  CHECK_FALSE(freshness.RevalidatedAt(kStart));
}

TEST_CASE("a lease lapses only across reads without a gap")
{
  MembershipView members(6s, 3s);
  EntryIdentity holder{ EntryId("a"), Incarnation(1) };
  CHECK_FALSE(members.IsLapsed(holder));
  members.Observe({ Row("a", 1, 10) }, kStart);
  for (int i = 1; i <= 6; ++i) {
    members.Observe({ Row("a", 1, 10) }, kStart + i * 1s);
    CHECK_FALSE(members.IsLapsed(holder));
  }
  members.Observe({ Row("a", 1, 10) }, kStart + 7s);
  CHECK(members.IsLapsed(holder));
  // The entry renews late; then the table is unavailable for a minute.
  members.Observe({ Row("a", 1, 11) }, kStart + 8s);
  CHECK_FALSE(members.IsLapsed(holder));
  members.Observe({ Row("a", 1, 11) }, kStart + 68s);
  CHECK_FALSE(members.IsLapsed(holder));
}

TEST_CASE("an earlier incarnation and a missing row are lapsed at once")
{
  MembershipView members(6s, 3s);
  members.Observe({ Row("a", 2, 10) }, kStart);
  CHECK(members.IsLapsed({ EntryId("a"), Incarnation(1) }));
  CHECK_FALSE(members.IsLapsed({ EntryId("a"), Incarnation(2) }));
  CHECK(members.IsLapsed({ EntryId("b"), Incarnation(1) }));
}

TEST_CASE("a lapsed row is removable only while a majority of rows is live")
{
  MembershipView members(6s, 3s);
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
  CHECK(members.RemovableRows(kStart + 59s).empty());
  for (int i = 60; i < 70; ++i) {
    observe(i, true);
  }
  REQUIRE(members.RemovableRows(kStart + 69s).size() == 1);
  CHECK(members.RemovableRows(kStart + 69s)[0].identity.entry == EntryId("b"));
}
