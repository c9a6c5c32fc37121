#include "Tests/System/Deployment.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace vanillaworks::system;
using namespace std::chrono_literals;

TEST_CASE("in a long outage of the table accepted jobs complete, idempotent "
          "requests run, and jobs that need a claim may have run",
          "[outage]")
{
  DeploymentOptions options;
  options.entries = 3;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  auto accepted = std::async(std::launch::async, [&] {
    return deployment.Submit(0, Deployment::MakeJob("accepted", 100, 400));
  });
  std::this_thread::sleep_for(500ms);
  deployment.ControlTable({ { "mode", "hang" } });
  std::this_thread::sleep_for(4s);

  auto result = accepted.get();
  REQUIRE(result);
  CHECK((*result)["state"] == "complete");
  Deployment::Json request{
    { "idempotent", true },
    { "kind", "count" },
    { "payload", "20" },
    { "deadline_ms", (vanillaworks::WallNow() + 5s).time_since_epoch().count() }
  };
  auto idempotent = deployment.Request(1, request);
  REQUIRE(idempotent);
  CHECK((*idempotent)["state"] == "complete");
  auto claimed =
    deployment.Submit(2, Deployment::MakeJob("unclaimed", 3, 20, 2));
  REQUIRE(claimed);
  CHECK((*claimed)["state"] == "may_have_run");
  CHECK((*claimed)["reason"] == "table_unavailable");

  deployment.ControlTable({ { "mode", "up" } });
  CHECK(Deployment::WaitFor([&] {
    auto answer = deployment.Get(1, "/v1/submissions/accepted");
    return answer && answer->value("state", "") == "complete";
  }));
  for (const auto& record : deployment.StartRecords()) {
    CHECK(record.submission != "unclaimed");
  }
  auto after = deployment.Submit(2, Deployment::MakeJob("after", 3, 20));
  REQUIRE(after);
  CHECK((*after)["state"] == "complete");
}
