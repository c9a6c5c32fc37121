#include "Tests/System/Deployment.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace vanillaworks::system;
using namespace std::chrono_literals;

TEST_CASE("through a long outage of the table accepted jobs end, repeatable "
          "requests run, and claimed ones learn that it is unknown",
          "[outage]")
{
  DeploymentOptions options;
  options.entries = 3;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  auto accepted = std::async(std::launch::async, [&] {
    return deployment.Submit(0, Deployment::Job("accepted", 100, 400));
  });
  std::this_thread::sleep_for(500ms);
  deployment.ControlTable({ { "mode", "hang" } });
  std::this_thread::sleep_for(4s);

  auto got = accepted.get();
  REQUIRE(got);
  CHECK((*got)["state"] == "complete");
  Deployment::Json request{
    { "idempotent", true },
    { "kind", "count" },
    { "payload", "20" },
    { "deadline_ms", (vanillaworks::WallNow() + 5s).time_since_epoch().count() }
  };
  auto repeatable = deployment.Request(1, request);
  REQUIRE(repeatable);
  CHECK((*repeatable)["state"] == "complete");
  auto claimed = deployment.Submit(2, Deployment::Job("unclaimed", 3, 20, 2));
  REQUIRE(claimed);
  CHECK((*claimed)["state"] == "may_have_run");
  CHECK((*claimed)["reason"] == "table_unavailable");

  deployment.ControlTable({ { "mode", "up" } });
  CHECK(Deployment::WaitFor([&] {
    auto answer = deployment.Get(1, "/v1/submissions/accepted");
    return answer && answer->value("state", "") == "complete";
  }));
  for (const auto& record : deployment.Records()) {
    CHECK(record.submission != "unclaimed");
  }
  auto after = deployment.Submit(2, Deployment::Job("after", 3, 20));
  REQUIRE(after);
  CHECK((*after)["state"] == "complete");
}
