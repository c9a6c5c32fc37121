#include "Tests/System/Deployment.h"
#include "Tests/System/Process.h"

#include <catch2/catch.hpp>
#include <set>

using namespace vanillaworks::system;

TEST_CASE("a program that was never started doesn't count as ended well",
          "[path]")
{
  Process missing({ "/nonexistent/program" }, "/dev/null");
  CHECK(missing.WaitForExit(1) == -1);
}

TEST_CASE("a job's tasks run on several upstreams and its complete answer "
          "is returned",
          "[path]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer = deployment.Submit(0, Deployment::MakeJob("job-1", 40, 20));

  REQUIRE(answer);
  CHECK((*answer)["state"] == "complete");
  REQUIRE((*answer)["tasks"].size() == 40);
  for (std::size_t i = 0; i < 40; ++i) {
    const auto& task = (*answer)["tasks"][i];
    CHECK(task["id"] == "t" + std::to_string(i));
    CHECK(task["payload"] == "done:job-1:" + std::to_string(i));
  }
  std::set<std::string> upstreams;
  for (const auto& record : deployment.StartRecords()) {
    upstreams.insert(record.upstream);
  }
  CHECK(upstreams.size() > 1);
  CHECK(deployment.CountRepeatedStarts() == 0);
}
