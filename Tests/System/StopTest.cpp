#include "Tests/System/Deployment.h"
#include "Tests/System/LoadGenerator.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace vanillaworks::system;
using namespace std::chrono_literals;

TEST_CASE("an entry stops with a job in flight and the job is answered",
          "[invariant-8]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto answer = std::async(std::launch::async, [&] {
    return deployment.Submit(0, Deployment::MakeJob("last", 60, 300));
  });
  std::this_thread::sleep_for(300ms);
  deployment.Entry(0).Signal(SIGTERM);
  auto result = answer.get();
  REQUIRE(result);
  CHECK((*result)["state"] == "complete");
  CHECK((*result)["tasks"].size() == 60);
  CHECK(deployment.Entry(0).WaitForExit(10) == 0);
}

TEST_CASE("an agent stops with tasks running and each is answered",
          "[invariant-8]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto answer = std::async(std::launch::async, [&] {
    return deployment.Submit(0, Deployment::MakeJob("drain", 80, 300));
  });
  std::this_thread::sleep_for(300ms);
  deployment.Agent(0).Signal(SIGTERM);
  auto result = answer.get();
  REQUIRE(result);
  INFO(result->dump());
  CHECK((*result)["state"] == "complete");
  CHECK(deployment.Agent(0).WaitForExit(15) == 0);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("every agent and entry is restarted one by one under load",
          "[invariant-8][invariant-1]")
{
  DeploymentOptions options;
  options.entries = 2;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  for (std::size_t entry : { 0, 1 }) {
    // Callers use the other entry, as the load balancer would have it.
    LoadGenerator load(
      deployment, { 1 - entry }, 20, 50, "without-" + std::to_string(entry));
    for (std::size_t upstream : { entry, entry + 2 }) {
      std::this_thread::sleep_for(300ms);
      deployment.Agent(upstream).Signal(SIGTERM);
      CHECK(deployment.Agent(upstream).WaitForExit(15) == 0);
      deployment.StartAgent(upstream);
    }
    deployment.Entry(entry).Signal(SIGTERM);
    CHECK(deployment.Entry(entry).WaitForExit(15) == 0);
    deployment.StartEntry(entry);
    std::this_thread::sleep_for(1s);
    auto outcomes = load.Stop();
    CHECK(outcomes.size() > 5);
    for (const auto& outcome : outcomes) {
      INFO(outcome.id);
      CHECK(outcome.state == "complete");
      CHECK(outcome.results == 20);
    }
    REQUIRE(deployment.WaitUntilReady());
  }
  CHECK(deployment.CountRepeatedStarts() == 0);
}
