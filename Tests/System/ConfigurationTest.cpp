#include "Tests/System/Deployment.h"
#include "Tests/System/LoadGenerator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace vanillaworks::system;
using namespace std::chrono_literals;

namespace {
/**
 * The time after a patch is accepted within which a closed failure domain or a
 * leaving upstream has to stop starting tasks.
 */
constexpr std::int64_t kStopStartsBoundMicroseconds = 3'000'000;

Deployment::Json
DomainState(const std::string& aDomain, const std::string& aState)
{
  return { { "failure_domains", { { aDomain, { { "state", aState } } } } } };
}

std::size_t
CountStartsAfter(const Deployment& aDeployment,
                 const std::string& aDomain,
                 std::int64_t aFrom)
{
  std::size_t starts = 0;
  for (const auto& record : aDeployment.StartRecords()) {
    auto index = static_cast<std::size_t>(
      std::stoi(record.upstream.substr(record.upstream.find('-') + 1)));
    bool isInDomain = aDeployment.DomainOf(index) == aDomain;
    starts += isInDomain && record.startedAt > aFrom ? 1 : 0;
  }
  return starts;
}

bool
WaitForVersion(const Deployment& aDeployment,
               std::size_t aEntry,
               std::uint64_t aVersion)
{
  return Deployment::WaitFor(
    [&] { return aDeployment.CurrentVersion(aEntry) >= aVersion; }, 6);
}
}

TEST_CASE("a failure domain is closed under load and nothing starts there",
          "[invariant-3]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  LoadGenerator load(deployment, { 0, 1 }, 30, 50);
  std::this_thread::sleep_for(1s);

  long status = 0;
  auto patched =
    deployment.Patch(0, 0, DomainState("promenade", "closed"), &status);
  auto acceptedAt = Deployment::NowMicroseconds();
  REQUIRE(status == 200);
  std::this_thread::sleep_for(5s);
  auto outcomes = load.Stop();

  CHECK(CountStartsAfter(deployment,
                         "promenade",
                         acceptedAt + kStopStartsBoundMicroseconds) == 0);
  CHECK(CountStartsAfter(deployment,
                         "pier-end",
                         acceptedAt + kStopStartsBoundMicroseconds) > 0);
  for (const auto& outcome : outcomes) {
    CHECK(outcome.state == "complete");
  }
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("the table fails right after a domain is closed",
          "[invariant-3][invariant-9]")
{
  DeploymentOptions options;
  options.entries = 3;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  auto deadline = vanillaworks::WallNow() + 20s;
  std::atomic<bool> stopping{ false };
  std::atomic<int> answered{ 0 };
  std::vector<std::thread> callers;
  for (std::size_t entry : { 0, 1, 2 }) {
    callers.emplace_back([&, entry] {
      Deployment::Json request{ { "idempotent", true },
                                { "kind", "count" },
                                { "payload", "30" },
                                { "deadline_ms",
                                  deadline.time_since_epoch().count() } };
      while (!stopping) {
        auto answer = deployment.Request(entry, request);
        answered += answer && (*answer)["state"] == "complete" ? 1 : 0;
      }
    });
  }
  std::this_thread::sleep_for(500ms);
  deployment.Patch(1, 0, DomainState("promenade", "closed"));
  deployment.ControlTable({ { "mode", "down" } });
  auto acceptedAt = Deployment::NowMicroseconds();
  std::this_thread::sleep_for(6s);
  auto before = answered.load();
  std::this_thread::sleep_for(1s);
  CHECK(answered.load() > before);
  for (std::size_t entry : { 0, 1, 2 }) {
    CHECK(deployment.CurrentVersion(entry) == 1);
  }
  stopping = true;
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(CountStartsAfter(deployment,
                         "promenade",
                         acceptedAt + kStopStartsBoundMicroseconds) == 0);
}

TEST_CASE("an agent that is paused while its domain is closed starts nothing "
          "after it resumes",
          "[invariant-3]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  // The job fills the slots and queues of all agents.
  auto job = std::async(std::launch::async, [&] {
    return deployment.Submit(0, Deployment::MakeJob("asleep", 60, 1500, 40));
  });
  std::this_thread::sleep_for(700ms);
  deployment.Agent(1).Signal(SIGSTOP);
  deployment.Patch(0, 0, DomainState("promenade", "closed"));
  auto acceptedAt = Deployment::NowMicroseconds();
  std::this_thread::sleep_for(4s);
  deployment.Agent(1).Signal(SIGCONT);

  auto answer = job.get();
  REQUIRE(answer);
  INFO(answer->dump());
  CHECK(CountStartsAfter(deployment,
                         "promenade",
                         acceptedAt + kStopStartsBoundMicroseconds) == 0);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("agents cut off from every entry stop starting work", "[invariant-3]")
{
  DeploymentOptions options;
  options.usesRelays = true;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  auto job = std::async(std::launch::async, [&] {
    return deployment.Submit(0, Deployment::MakeJob("cut", 60, 1500, 40));
  });
  std::this_thread::sleep_for(500ms);
  for (std::size_t upstream : { 1, 3 }) {
    for (std::size_t entry : { 0, 1 }) {
      deployment.ControlRelay(upstream, entry, "cut");
    }
  }
  deployment.Patch(0, 0, DomainState("promenade", "closed"));
  auto acceptedAt = Deployment::NowMicroseconds();
  job.get();
  CHECK(CountStartsAfter(deployment,
                         "promenade",
                         acceptedAt + kStopStartsBoundMicroseconds) == 0);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("a leaving upstream gets no new tasks and completes those it has",
          "[invariant-7]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  LoadGenerator load(deployment, { 0, 1 }, 30, 50);
  std::this_thread::sleep_for(1s);
  deployment.Patch(
    1, 0, { { "upstreams", { { "runner-2", { { "state", "leaving" } } } } } });
  auto acceptedAt = Deployment::NowMicroseconds();
  std::this_thread::sleep_for(5s);
  auto outcomes = load.Stop();
  for (const auto& record : deployment.StartRecords()) {
    bool isLeaving = record.upstream == "runner-2";
    CHECK_FALSE((isLeaving &&
                 record.startedAt > acceptedAt + kStopStartsBoundMicroseconds));
  }
  for (const auto& outcome : outcomes) {
    CHECK(outcome.state == "complete");
  }
}

TEST_CASE("a patch of an idle deployment is known to be in force everywhere",
          "[invariant-9]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  for (std::uint64_t base = 0; base < 3; ++base) {
    long status = 0;
    auto body = deployment.Patch(
      0, base, DomainState("promenade", base % 2 ? "open" : "closed"), &status);
    REQUIRE(body);
    INFO(body->dump());
    CHECK(status == 200);
    CHECK((*body)["entries_with_version"] == 2);
    CHECK((*body)["agents_without_version"] == 0);
  }
}

TEST_CASE("two operators send patches at the same time and each version is "
          "exactly one of them",
          "[invariant-9]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  int accepted = 0;
  int refused = 0;
  for (std::uint64_t base = 0; base < 5; ++base) {
    std::vector<std::future<long>> statuses;
    for (std::size_t entry : { 0, 1 }) {
      statuses.push_back(std::async(std::launch::async, [&, entry] {
        long status = 0;
        auto name = "domain-" + std::to_string(entry);
        auto body =
          deployment.Patch(entry, base, DomainState(name, "closed"), &status);
        if (status == 409) {
          CHECK((*body)["error"]["current_version"] == base + 1);
        }
        return status;
      }));
    }
    for (auto& status : statuses) {
      auto result = status.get();
      accepted += result == 200 || result == 202 ? 1 : 0;
      refused += result == 409 ? 1 : 0;
    }
  }
  CHECK(accepted == 5);
  CHECK(refused == 5);
  CHECK(WaitForVersion(deployment, 0, 5));
  CHECK(WaitForVersion(deployment, 1, 5));
}

TEST_CASE("the table's response to a patch is lost and the operator still "
          "learns which patch was accepted",
          "[invariant-9]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.ControlTable({ { "mode", "lose_answers" } });
  long status = 0;
  auto body =
    deployment.Patch(0, 0, DomainState("promenade", "closed"), &status);
  REQUIRE(body);
  INFO(body->dump());
  CHECK((status == 200 || status == 202));
  CHECK((*body)["version"] == 1);
  long second = 0;
  deployment.Patch(1, 0, DomainState("pier-end", "closed"), &second);
  CHECK(second == 409);
  deployment.ControlTable({ { "mode", "up" } });
  CHECK(WaitForVersion(deployment, 1, 1));
}

TEST_CASE("a version survives the restart of every process and never reverts",
          "[invariant-9]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.Patch(0, 0, DomainState("promenade", "closed"));
  auto acceptedAt = Deployment::NowMicroseconds();
  for (std::size_t entry : { 0, 1 }) {
    deployment.Entry(entry).Kill();
  }
  for (std::size_t upstream = 0; upstream < 4; ++upstream) {
    deployment.Agent(upstream).Kill();
    deployment.StartAgent(upstream);
  }
  for (std::size_t entry : { 0, 1 }) {
    deployment.StartEntry(entry);
  }
  REQUIRE(WaitForVersion(deployment, 0, 1));
  REQUIRE(WaitForVersion(deployment, 1, 1));
  auto answer = deployment.Submit(0, Deployment::MakeJob("after", 20, 20));
  REQUIRE(answer);
  INFO(answer->dump());
  CHECK((*answer)["state"] == "complete");
  CHECK(CountStartsAfter(deployment,
                         "promenade",
                         acceptedAt + kStopStartsBoundMicroseconds) == 0);
}
