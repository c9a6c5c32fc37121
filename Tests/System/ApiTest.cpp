#include "Tests/System/Deployment.h"

#include <catch2/catch.hpp>

using namespace vanillaworks::system;

namespace {
struct BadInput
{
  const char* name;
  std::string body;
  long status;
  const char* reason;
};

std::vector<BadInput>
BadInputs()
{
  auto good = Deployment::MakeJob("bad", 3, 10);
  std::vector<BadInput> inputs{ { "not JSON", "{", 400, "not_json" } };
  auto add = [&inputs](const char* aName,
                       const Deployment::Json& aBody,
                       long aStatus,
                       const char* aReason) {
    inputs.push_back({ aName, aBody.dump(), aStatus, aReason });
  };
  add("too many tasks",
      Deployment::MakeJob("bad", 1501, 1),
      413,
      "too_many_tasks");
  add("no tasks", Deployment::MakeJob("bad", 0, 1), 400, "no_tasks");
  auto body = good;
  body["tasks"][2]["id"] = "t0";
  add("a duplicate task id", body, 400, "duplicate_task_id");
  body = good;
  body["colour"] = "red";
  add("an unknown field", body, 400, "unknown_field");
  body = good;
  body["tasks"][0]["priority"] = 1;
  add("an unknown field of a task", body, 400, "unknown_field");
  body = good;
  body["tasks"][0]["memory_mb"] = -1;
  add("a negative size", body, 400, "negative_size");
  body = good;
  body["deadline_ms"] = 1000;
  add("a deadline in the past", body, 400, "deadline_in_the_past");
  body = good;
  body["deadline_ms"] = good["deadline_ms"].get<std::int64_t>() + 86'400'000;
  add("a deadline too far", body, 400, "deadline_too_far");
  body = good;
  body.erase("submission_id");
  add("no id", body, 400, "missing_field");
  body = good;
  body["tasks"][0]["payload"] = 5;
  add("a payload that is not a string", body, 400, "wrong_type");
  return inputs;
}
}

TEST_CASE("bad input is refused with a reason code and nothing runs", "[api]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  vanillaworks::platform::HttpClient client(std::chrono::seconds(10));
  auto url = deployment.EntryUrl(0) + "/v1/submissions";
  for (const auto& input : BadInputs()) {
    INFO(input.name);
    auto response = client.Post(url, input.body);
    REQUIRE_FALSE(response.IsError());
    CHECK(response.Value().status == input.status);
    auto body = Deployment::Json::parse(response.Value().body);
    CHECK(body["error"]["reason"] == input.reason);
  }
  // The HTTP server refuses a body over its size limit with 413, or closes the
  // connection before it has read all of it.
  auto response = client.Post(url, std::string(5U * 1024 * 1024, ' '));
  if (!response.IsError()) {
    CHECK(response.Value().status == 413);
  }
  CHECK(deployment.StartRecords().empty());
}

TEST_CASE("the job of a caller that disconnects completes", "[api]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  vanillaworks::platform::HttpClient shortTimeoutClient(
    std::chrono::milliseconds(100));
  auto job = Deployment::MakeJob("left", 8, 400);
  auto response = shortTimeoutClient.Post(
    deployment.EntryUrl(0) + "/v1/submissions", job.dump());
  CHECK(response.IsError());
  for (std::size_t entry : { 0, 1 }) {
    std::optional<Deployment::Json> answer;
    CHECK(Deployment::WaitFor([&] {
      answer = deployment.Get(entry, "/v1/submissions/left");
      return answer && answer->value("state", "") == "complete";
    }));
    CHECK((*answer)["tasks"].size() == 8);
  }
  auto decisions = deployment.Get(0, "/v1/submissions/left/decisions");
  REQUIRE(decisions);
  CHECK((*decisions)["decisions"].size() > 8);
}

TEST_CASE("a large answer is read from another entry unchanged", "[api]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto id = std::string("large");
  auto answer = deployment.Submit(0, Deployment::MakeJob(id, 1500, 1));
  REQUIRE(answer);
  CHECK((*answer)["tasks"].size() == 1500);
  std::optional<Deployment::Json> stored;
  CHECK(Deployment::WaitFor([&] {
    stored = deployment.Get(1, "/v1/submissions/" + id);
    return stored && stored->value("state", "") == "complete";
  }));
  CHECK(*stored == *answer);
}

TEST_CASE("bad patches are refused with the path of the wrong value", "[api]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  long status = 0;
  auto body = deployment.Patch(
    0, 7, { { "teams", Deployment::Json::object() } }, &status);
  CHECK(status == 409);
  CHECK((*body)["error"]["current_version"] == 0);
  body = deployment.Patch(
    0,
    0,
    { { "failure_domains", { { "pier-end", { { "state", "ajar" } } } } } },
    &status);
  CHECK(status == 400);
  CHECK((*body)["error"]["reason"] == "unknown_state");
  CHECK((*body)["error"]["path"] == "/failure_domains/pier-end/state");
  body = deployment.Patch(
    0, 0, { { "rooms", Deployment::Json::object() } }, &status);
  CHECK(status == 400);
  CHECK(deployment.CurrentVersion(0) == 0);
}
