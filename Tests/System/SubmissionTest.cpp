#include "Tests/System/Deployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace vanillaworks::system;
using namespace std::chrono_literals;

namespace {
std::future<std::optional<Deployment::Json>>
SubmitAsync(const Deployment& aDeployment,
            std::size_t aEntry,
            const Deployment::Json& aJob)
{
  return std::async(std::launch::async, [&aDeployment, aEntry, aJob] {
    return aDeployment.Submit(aEntry, aJob);
  });
}

void
CheckComplete(const std::optional<Deployment::Json>& aAnswer,
              const std::string& aId,
              std::size_t aTaskCount)
{
  REQUIRE(aAnswer);
  INFO(aAnswer->dump());
  REQUIRE((*aAnswer)["state"] == "complete");
  REQUIRE((*aAnswer)["tasks"].size() == aTaskCount);
  for (std::size_t i = 0; i < aTaskCount; ++i) {
    CHECK((*aAnswer)["tasks"][i]["payload"] ==
          "done:" + aId + ":" + std::to_string(i));
  }
}
}

TEST_CASE("a resubmission on another entry joins the running work",
          "[invariant-1]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::MakeJob("again", 60, 200);

  auto first = SubmitAsync(deployment, 0, job);
  std::this_thread::sleep_for(150ms);
  auto second = SubmitAsync(deployment, 1, job);
  auto third = SubmitAsync(deployment, 0, job);

  CheckComplete(first.get(), "again", 60);
  CheckComplete(second.get(), "again", 60);
  CheckComplete(third.get(), "again", 60);
  CheckComplete(deployment.Submit(1, job), "again", 60);
  CHECK(deployment.StartRecords().size() == 60);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("an entry is killed with a job in flight and the job is submitted "
          "again elsewhere",
          "[invariant-1]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::MakeJob("orphan", 80, 300);

  auto first = SubmitAsync(deployment, 0, job);
  std::this_thread::sleep_for(400ms);
  deployment.Entry(0).Kill();
  CHECK_FALSE(first.get());

  CheckComplete(deployment.Submit(1, job), "orphan", 80);
  CHECK(deployment.StartRecords().size() == 80);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("an entry is paused past its lease, its job is taken over, and it "
          "resumes",
          "[invariant-1][invariant-5]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  // The slots of all upstreams need longer for this job than the pause takes,
  // so that the paused entry has tasks left to start after it resumes.
  auto job = Deployment::MakeJob("paused", 220, 600);

  auto first = SubmitAsync(deployment, 0, job);
  std::this_thread::sleep_for(800ms);
  deployment.Entry(0).Signal(SIGSTOP);
  auto second = SubmitAsync(deployment, 1, job);
  std::this_thread::sleep_for(9s);
  deployment.Entry(0).Signal(SIGCONT);

  CheckComplete(second.get(), "paused", 220);
  auto answer = first.get();
  REQUIRE(answer);
  CHECK((*answer)["state"] != "not_run");
  CHECK(deployment.StartRecords().size() == 220);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("an entry resumes after its job was taken over and the table does "
          "not respond",
          "[invariant-1]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::MakeJob("woken", 400, 600, 60);

  auto first = SubmitAsync(deployment, 0, job);
  std::this_thread::sleep_for(800ms);
  deployment.Entry(0).Signal(SIGSTOP);
  auto second = SubmitAsync(deployment, 1, job);
  REQUIRE(Deployment::WaitFor(
    [&] { return deployment.Metric(1, "vanillaworks_takeovers_total") >= 1; }));
  std::this_thread::sleep_for(500ms);
  deployment.ControlTable({ { "mode", "hang" } });
  deployment.Entry(0).Signal(SIGCONT);

  CheckComplete(second.get(), "woken", 400);
  deployment.ControlTable({ { "mode", "up" } });
  first.get();
  CHECK(deployment.StartRecords().size() == 400);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("a resubmission with different content is refused",
          "[invariant-1][api]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::MakeJob("same-id", 4, 20);
  CheckComplete(deployment.Submit(0, job), "same-id", 4);

  job["tasks"].erase(0);
  for (std::size_t entry : { 0, 1 }) {
    long status = 0;
    auto answer = deployment.Submit(entry, job, &status);
    CHECK(status == 409);
  }
  CHECK(deployment.StartRecords().size() == 4);
}

TEST_CASE("an agent is killed with tasks started: the whole job fails",
          "[invariant-2]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer =
    SubmitAsync(deployment, 0, Deployment::MakeJob("partial", 120, 400));
  std::this_thread::sleep_for(600ms);
  deployment.Agent(0).Kill();

  auto result = answer.get();
  REQUIRE(result);
  INFO(result->dump());
  CHECK((*result)["state"] == "may_have_run");
  CHECK_FALSE(result->contains("tasks"));
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("an agent is killed and started again: the whole job still fails",
          "[invariant-2]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer =
    SubmitAsync(deployment, 0, Deployment::MakeJob("reborn", 120, 400));
  std::this_thread::sleep_for(600ms);
  deployment.Agent(1).Kill();
  deployment.StartAgent(1);

  auto result = answer.get();
  REQUIRE(result);
  INFO(result->dump());
  CHECK((*result)["state"] == "may_have_run");
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("an upstream is killed while its tasks run: the whole job fails",
          "[invariant-2]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer =
    SubmitAsync(deployment, 0, Deployment::MakeJob("dead", 60, 400));
  std::this_thread::sleep_for(300ms);
  deployment.Upstream(0).Kill();

  auto result = answer.get();
  REQUIRE(result);
  CHECK((*result)["state"] == "failed");
  CHECK((*result)["reason"] == "task_failed");
  CHECK_FALSE(result->contains("tasks"));
}

TEST_CASE("open connections go silent under many callers and each caller "
          "still gets its own complete answer",
          "[invariant-4]")
{
  DeploymentOptions options;
  options.usesRelays = true;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());

  std::vector<std::future<std::optional<Deployment::Json>>> answers;
  for (int i = 0; i < 12; ++i) {
    answers.push_back(
      SubmitAsync(deployment,
                  i % 2,
                  Deployment::MakeJob("caller-" + std::to_string(i), 20, 200)));
  }
  std::this_thread::sleep_for(300ms);
  for (std::size_t upstream = 0; upstream < 4; ++upstream) {
    deployment.ControlRelay(upstream, upstream % 2, "silence");
  }
  for (int i = 0; i < 12; ++i) {
    CheckComplete(answers[i].get(), "caller-" + std::to_string(i), 20);
  }
  CHECK(deployment.StartRecords().size() == 240);
  CHECK(deployment.CountRepeatedStarts() == 0);
}

TEST_CASE("a job that is answered as not run has started no task",
          "[invariant-5]")
{
  DeploymentOptions options;
  options.upstreams = 2;
  options.slots = 2;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());

  SECTION("a job with a task that fits no upstream")
  {
    auto job = Deployment::MakeJob("giant", 3, 20);
    job["tasks"][1]["accelerators"] = 9;
    auto answer = deployment.Submit(0, job);
    REQUIRE(answer);
    INFO(answer->dump());
    // The tasks that fit may have started before the job was refused.
    CHECK((*answer)["reason"] == "cannot_fit");
    bool isNotRun = (*answer)["state"] == "not_run";
    CHECK((!isNotRun || deployment.StartRecords().empty()));
  }
  SECTION("a job whose deadline passes while all slots are taken")
  {
    auto busy =
      SubmitAsync(deployment, 0, Deployment::MakeJob("busy", 16, 700));
    std::this_thread::sleep_for(200ms);
    auto late = deployment.Submit(1, Deployment::MakeJob("late", 2, 20, 1));
    REQUIRE(late);
    INFO(late->dump());
    bool isNotRun = (*late)["state"] == "not_run";
    std::size_t started = 0;
    CheckComplete(busy.get(), "busy", 16);
    for (const auto& record : deployment.StartRecords()) {
      started += record.submission == "late" ? 1 : 0;
    }
    CHECK((!isNotRun || started == 0));
  }
  SECTION("a job that is cancelled in the queue")
  {
    auto busy =
      SubmitAsync(deployment, 0, Deployment::MakeJob("busy", 24, 500));
    std::this_thread::sleep_for(200ms);
    auto waiting =
      SubmitAsync(deployment, 0, Deployment::MakeJob("gone", 30, 20));
    std::this_thread::sleep_for(200ms);
    vanillaworks::platform::HttpClient client(std::chrono::seconds(5));
    auto response =
      client.Delete(deployment.EntryUrl(0) + "/v1/submissions/gone");
    REQUIRE_FALSE(response.IsError());
    CHECK(response.Value().status == 202);
    auto answer = waiting.get();
    REQUIRE(answer);
    INFO(answer->dump());
    CHECK((*answer)["reason"] == "cancelled");
    CHECK((*answer)["state"] == "not_run");
    CheckComplete(busy.get(), "busy", 24);
    for (const auto& record : deployment.StartRecords()) {
      CHECK(record.submission != "gone");
    }
  }
}

TEST_CASE("a non-idempotent request runs at most once while the table loses "
          "responses and both entries receive it",
          "[invariant-6]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto deadline = vanillaworks::WallNow() + 10s;
  Deployment::Json request{ { "request_id", "booking-7" },
                            { "idempotent", false },
                            { "kind", "count" },
                            { "payload", "300" },
                            { "deadline_ms",
                              deadline.time_since_epoch().count() } };
  deployment.ControlTable({ { "mode", "lose_answers" } });
  std::vector<std::future<std::optional<Deployment::Json>>> answers;
  for (std::size_t entry : { 0, 1, 0, 1 }) {
    answers.push_back(std::async(std::launch::async, [&, entry] {
      return deployment.Request(entry, request);
    }));
  }
  std::this_thread::sleep_for(1500ms);
  deployment.ControlTable({ { "mode", "up" } });
  for (auto& answer : answers) {
    auto result = answer.get();
    REQUIRE(result);
    INFO(result->dump());
    CHECK((*result)["state"] == "complete");
    CHECK((*result)["tasks"][0]["payload"] == "done:booking-7:0");
  }
  CHECK(deployment.StartRecords().size() == 1);
}

TEST_CASE("a non-idempotent request whose agent is killed may have run and is "
          "not retried",
          "[invariant-6]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto deadline = vanillaworks::WallNow() + 20s;
  Deployment::Json request{ { "request_id", "booking-8" },
                            { "idempotent", false },
                            { "kind", "count" },
                            { "payload", "3000" },
                            { "deadline_ms",
                              deadline.time_since_epoch().count() } };
  auto answer = std::async(std::launch::async,
                           [&] { return deployment.Request(0, request); });
  REQUIRE(
    Deployment::WaitFor([&] { return deployment.StartRecords().size() == 1; }));
  auto upstream = deployment.StartRecords()[0].upstream;
  deployment.Agent(static_cast<std::size_t>(upstream.back() - '0')).Kill();
  auto result = answer.get();
  REQUIRE(result);
  INFO(result->dump());
  CHECK((*result)["state"] == "may_have_run");
  auto again = deployment.Request(1, request);
  REQUIRE(again);
  CHECK((*again)["state"] == "may_have_run");
  CHECK(deployment.StartRecords().size() == 1);
}
