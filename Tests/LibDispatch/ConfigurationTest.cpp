#include "LibDispatch/ConfigurationHolder.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace vanillaworks;
using namespace vanillaworks::dispatch;

namespace {
ConfigurationDocument
Version(std::uint64_t aNumber)
{
  return ConfigurationDocument::Parse(ConfigurationVersion(aNumber), "{}")
    .ReleaseValue();
}
}

TEST_CASE("a holder keeps the newest version in any order of arrival")
{
  CHECK(rc::check([](const std::vector<std::uint8_t>& aVersions) {
    ConfigurationHolder holder;
    std::uint64_t newest = 0;
    for (auto version : aVersions) {
      bool isNewer = version > newest;
      RC_ASSERT((holder.Adopt(Version(version)) == Adoption::Adopted) ==
                isNewer);
      newest = std::max<std::uint64_t>(newest, version);
      RC_ASSERT(holder.Current()->version.Value() == newest);
    }
  }));
}

TEST_CASE(
  "readers on other threads never see an older version after a newer one")
{
  ConfigurationHolder holder;
  std::vector<std::thread> threads;
  std::atomic<bool> wentBack{ false };
  for (int reader = 0; reader < 2; ++reader) {
    threads.emplace_back([&] {
      std::uint64_t last = 0;
      while (last < 2000) {
        auto version = holder.Current()->version.Value();
        wentBack = wentBack || version < last;
        last = version;
      }
    });
  }
  for (int writer = 0; writer < 2; ++writer) {
    threads.emplace_back([&, writer] {
      for (std::uint64_t i = 1; i <= 2000; ++i) {
        holder.Adopt(Version(writer == 0 ? i : 2001 - i));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK_FALSE(wentBack);
  CHECK(holder.Current()->version.Value() == 2000);
}

TEST_CASE("a patch creates the next version and an error names its path")
{
  auto base = Version(4);
  auto next = base.Patched(
    R"({"failure_domains":{"harbour":{"state":"closed"}},
        "teams":{"tills":{"max_tasks_in_flight":5}}})");
  REQUIRE_FALSE(next.IsError());
  CHECK(next.Value().version.Value() == 5);
  CHECK(next.Value().IsClosed(FailureDomainId("harbour")));
  auto back = next.Value().Patched(R"({"failure_domains":null})");
  REQUIRE_FALSE(back.IsError());
  CHECK_FALSE(back.Value().IsClosed(FailureDomainId("harbour")));
  CHECK(back.Value().teams.at(TeamId("tills")).maxTasksInFlight == 5);
  auto bad = base.Patched(R"({"teams":{"tills":{"max_tasks_in_flight":-1}}})");
  REQUIRE(bad.IsError());
  CHECK(bad.Error().kind == PatchProblemKind::OutOfRange);
  CHECK(bad.Error().path == "/teams/tills/max_tasks_in_flight");
}
