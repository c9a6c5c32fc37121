#include "Tests/System/Deployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace vanillaworks::system;
using namespace std::chrono_literals;

namespace {
std::future<std::optional<Deployment::Json>>
SubmitLater(const Deployment& aDeployment,
            std::size_t aEntry,
            const Deployment::Json& aJob)
{
  return std::async(std::launch::async, [&aDeployment, aEntry, aJob] {
    return aDeployment.Submit(aEntry, aJob);
  });
}

void
CheckWhole(const std::optional<Deployment::Json>& aAnswer,
           const std::string& aId,
           std::size_t aTasks)
{
  REQUIRE(aAnswer);
  INFO(aAnswer->dump());
  REQUIRE((*aAnswer)["state"] == "complete");
  REQUIRE((*aAnswer)["tasks"].size() == aTasks);
  for (std::size_t i = 0; i < aTasks; ++i) {
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
  auto job = Deployment::Job("again", 60, 200);

  auto first = SubmitLater(deployment, 0, job);
  std::this_thread::sleep_for(150ms);
  auto second = SubmitLater(deployment, 1, job);
  auto third = SubmitLater(deployment, 0, job);

  CheckWhole(first.get(), "again", 60);
  CheckWhole(second.get(), "again", 60);
  CheckWhole(third.get(), "again", 60);
  CheckWhole(deployment.Submit(1, job), "again", 60);
  CHECK(deployment.Records().size() == 60);
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("an entry is killed with a job in flight and the job is submitted "
          "again elsewhere",
          "[invariant-1]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::Job("orphan", 80, 300);

  auto first = SubmitLater(deployment, 0, job);
  std::this_thread::sleep_for(400ms);
  deployment.Entry(0).Kill();
  CHECK_FALSE(first.get());

  CheckWhole(deployment.Submit(1, job), "orphan", 80);
  CHECK(deployment.Records().size() == 80);
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("an entry is stopped past its lease, its job is taken over, and it "
          "wakes up",
          "[invariant-1][invariant-5]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  // Longer than all slots for the time of the pause, so that the paused
  // entry has tasks left to start when it wakes.
  auto job = Deployment::Job("paused", 220, 600);

  auto first = SubmitLater(deployment, 0, job);
  std::this_thread::sleep_for(800ms);
  deployment.Entry(0).Signal(SIGSTOP);
  auto second = SubmitLater(deployment, 1, job);
  std::this_thread::sleep_for(9s);
  deployment.Entry(0).Signal(SIGCONT);

  CheckWhole(second.get(), "paused", 220);
  auto answer = first.get();
  REQUIRE(answer);
  CHECK((*answer)["state"] != "not_run");
  CHECK(deployment.Records().size() == 220);
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("an entry wakes up after its job was taken over and can't learn of "
          "it from the table",
          "[invariant-1]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::Job("woken", 400, 600, 60);

  auto first = SubmitLater(deployment, 0, job);
  std::this_thread::sleep_for(800ms);
  deployment.Entry(0).Signal(SIGSTOP);
  auto second = SubmitLater(deployment, 1, job);
  REQUIRE(Deployment::WaitFor(
    [&] { return deployment.Metric(1, "vanillaworks_takeovers_total") >= 1; }));
  std::this_thread::sleep_for(500ms);
  deployment.ControlTable({ { "mode", "hang" } });
  deployment.Entry(0).Signal(SIGCONT);

  CheckWhole(second.get(), "woken", 400);
  deployment.ControlTable({ { "mode", "up" } });
  first.get();
  CHECK(deployment.Records().size() == 400);
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("a resubmission with another content is refused",
          "[invariant-1][api]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = Deployment::Job("same-id", 4, 20);
  CheckWhole(deployment.Submit(0, job), "same-id", 4);

  job["tasks"].erase(0);
  for (std::size_t entry : { 0, 1 }) {
    long status = 0;
    auto answer = deployment.Submit(entry, job, &status);
    CHECK(status == 409);
  }
  CHECK(deployment.Records().size() == 4);
}

TEST_CASE("an agent is killed with tasks started: the job fails whole",
          "[invariant-2]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer =
    SubmitLater(deployment, 0, Deployment::Job("partial", 120, 400));
  std::this_thread::sleep_for(600ms);
  deployment.Agent(0).Kill();

  auto got = answer.get();
  REQUIRE(got);
  INFO(got->dump());
  CHECK((*got)["state"] == "may_have_run");
  CHECK_FALSE(got->contains("tasks"));
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("an agent is killed and started again: the job still fails whole",
          "[invariant-2]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer = SubmitLater(deployment, 0, Deployment::Job("reborn", 120, 400));
  std::this_thread::sleep_for(600ms);
  deployment.Agent(1).Kill();
  deployment.StartAgent(1);

  auto got = answer.get();
  REQUIRE(got);
  INFO(got->dump());
  CHECK((*got)["state"] == "may_have_run");
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("an upstream dies under its tasks: the job fails whole",
          "[invariant-2]")
{
  Deployment deployment({});
  REQUIRE(deployment.WaitUntilReady());

  auto answer = SubmitLater(deployment, 0, Deployment::Job("dead", 60, 400));
  std::this_thread::sleep_for(300ms);
  deployment.Upstream(0).Kill();

  auto got = answer.get();
  REQUIRE(got);
  CHECK((*got)["state"] == "failed");
  CHECK((*got)["reason"] == "task_failed");
  CHECK_FALSE(got->contains("tasks"));
}

TEST_CASE("open connections go silent under many callers and each caller "
          "still gets its own whole answer",
          "[invariant-4]")
{
  DeploymentOptions options;
  options.relays = true;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());

  std::vector<std::future<std::optional<Deployment::Json>>> answers;
  for (int i = 0; i < 12; ++i) {
    answers.push_back(
      SubmitLater(deployment,
                  i % 2,
                  Deployment::Job("caller-" + std::to_string(i), 20, 200)));
  }
  std::this_thread::sleep_for(300ms);
  for (std::size_t upstream = 0; upstream < 4; ++upstream) {
    deployment.ControlRelay(upstream, upstream % 2, "silence");
  }
  for (int i = 0; i < 12; ++i) {
    CheckWhole(answers[i].get(), "caller-" + std::to_string(i), 20);
  }
  CHECK(deployment.Records().size() == 240);
  CHECK(deployment.StartedTwice() == 0);
}

TEST_CASE("a refusal that says not run is true", "[invariant-5]")
{
  DeploymentOptions options;
  options.upstreams = 2;
  options.slots = 2;
  Deployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());

  SECTION("of a job that fits nowhere")
  {
    auto job = Deployment::Job("giant", 3, 20);
    job["tasks"][1]["accelerators"] = 9;
    auto answer = deployment.Submit(0, job);
    REQUIRE(answer);
    INFO(answer->dump());
    // The tasks that fit may have been started before.
    CHECK((*answer)["reason"] == "cannot_fit");
    bool isNotRun = (*answer)["state"] == "not_run";
    CHECK((!isNotRun || deployment.Records().empty()));
  }
  SECTION("of a request whose deadline passes while all slots are taken")
  {
    auto busy = SubmitLater(deployment, 0, Deployment::Job("busy", 16, 700));
    std::this_thread::sleep_for(200ms);
    auto late = deployment.Submit(1, Deployment::Job("late", 2, 20, 1));
    REQUIRE(late);
    INFO(late->dump());
    bool isNotRun = (*late)["state"] == "not_run";
    std::size_t started = 0;
    CheckWhole(busy.get(), "busy", 16);
    for (const auto& record : deployment.Records()) {
      started += record.submission == "late" ? 1 : 0;
    }
    CHECK((!isNotRun || started == 0));
  }
  SECTION("of a job that is cancelled in the queue")
  {
    auto busy = SubmitLater(deployment, 0, Deployment::Job("busy", 24, 500));
    std::this_thread::sleep_for(200ms);
    auto waiting = SubmitLater(deployment, 0, Deployment::Job("gone", 30, 20));
    std::this_thread::sleep_for(200ms);
    vanillaworks::platform::HttpClient client(std::chrono::seconds(5));
    auto reply = client.Delete(deployment.EntryUrl(0) + "/v1/submissions/gone");
    REQUIRE_FALSE(reply.IsError());
    CHECK(reply.Value().status == 202);
    auto answer = waiting.get();
    REQUIRE(answer);
    INFO(answer->dump());
    CHECK((*answer)["reason"] == "cancelled");
    CHECK((*answer)["state"] == "not_run");
    CheckWhole(busy.get(), "busy", 24);
    for (const auto& record : deployment.Records()) {
      CHECK(record.submission != "gone");
    }
  }
}

TEST_CASE("a non-idempotent request runs at most once while the table loses "
          "answers and both entries get it",
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
    auto got = answer.get();
    REQUIRE(got);
    INFO(got->dump());
    CHECK((*got)["state"] == "complete");
    CHECK((*got)["tasks"][0]["payload"] == "done:booking-7:0");
  }
  CHECK(deployment.Records().size() == 1);
}

TEST_CASE("a non-idempotent request whose agent dies may have run and is not "
          "tried again",
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
    Deployment::WaitFor([&] { return deployment.Records().size() == 1; }));
  auto upstream = deployment.Records()[0].upstream;
  deployment.Agent(static_cast<std::size_t>(upstream.back() - '0')).Kill();
  auto got = answer.get();
  REQUIRE(got);
  INFO(got->dump());
  CHECK((*got)["state"] == "may_have_run");
  auto again = deployment.Request(1, request);
  REQUIRE(again);
  CHECK((*again)["state"] == "may_have_run");
  CHECK(deployment.Records().size() == 1);
}
