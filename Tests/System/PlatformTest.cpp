#include "Tests/Soak/InvariantChecks.h"
#include "Tests/StandIns/RunnerStandIn.h"
#include "Tests/System/PlatformDeployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using vanillaworks::Milliseconds;
using namespace vanillaworks::system;
using namespace std::chrono_literals;

namespace {
/** Submits one job from each of aJobs concurrent callers. */
std::vector<CallerAnswer>
SubmitMany(const PlatformDeployment& aDeployment,
           std::uint64_t aFirst,
           std::size_t aJobs,
           int aTaskMilliseconds)
{
  std::vector<std::future<CallerAnswer>> calls;
  for (std::size_t i = 0; i < aJobs; ++i) {
    calls.push_back(std::async(std::launch::async, [=, &aDeployment] {
      return aDeployment.SubmitWithRetries(
        i % aDeployment.Options().entries,
        PlatformDeployment::JobId(aFirst + i),
        3,
        aTaskMilliseconds);
    }));
  }
  std::vector<CallerAnswer> answers;
  for (auto& call : calls) {
    answers.push_back(call.get());
  }
  return answers;
}

std::string
ToText(const CallerAnswer& aAnswer)
{
  return std::to_string(aAnswer.status) + " " + aAnswer.body;
}

auto
CountServed(const std::vector<CallerAnswer>& aAnswers)
{
  return std::count_if(
    aAnswers.begin(), aAnswers.end(), [](const auto& aAnswer) {
      bool isCompleted =
        aAnswer.status == 200 && aAnswer.body == R"({"state":"completed"})";
      if (!isCompleted) {
        UNSCOPED_INFO("not served: " << ToText(aAnswer));
      }
      return isCompleted;
    });
}

/** Waits until the job has begun at least aCount runs, and returns its runs. */
std::vector<RunRecord>
WaitForRuns(const PlatformDeployment& aDeployment,
            const std::string& aJob,
            std::size_t aCount)
{
  auto until = vanillaworks::MonotonicNow() + PlatformDeployment::kCallTimeout;
  std::vector<RunRecord> runs;
  do {
    runs = aDeployment.RunRecords();
    std::erase_if(runs, [&](const auto& aRun) { return aRun.job != aJob; });
  } while (runs.size() < aCount && vanillaworks::MonotonicNow() < until);
  return runs;
}
}

TEST_CASE("jobs run on the runners and their callers are answered",
          "[platform-path]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  CHECK(CountServed(SubmitMany(deployment, 1, 8, 60)) == 8);
  CHECK(deployment.Get(0, "/tally/").body == R"({"pending":0})");
  CHECK(deployment.Get(0, "/other/").status == 404);
  CHECK(deployment.Get(0, "/tally/00000000000000ff").status == 410);
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

TEST_CASE("metrics report links, version, answers and answer times",
          "[platform-path]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  CHECK(CountServed(SubmitMany(deployment, 20, 4, 60)) == 4);
  CHECK(deployment.Post(0, "/tally/x", "{}").status == 404);
  using Catch::Matchers::Contains;
  auto entry = deployment.EntryMetrics(0);
  CHECK_THAT(entry, Contains("vanillaworks_links 4"));
  CHECK_THAT(entry, Contains("vanillaworks_configuration_version 1"));
  CHECK_THAT(entry, Contains("vanillaworks_in_flight 0"));
  CHECK_THAT(entry, Contains("vanillaworks_answer_seconds_bucket"));
  auto agent = deployment.AgentMetrics(0);
  CHECK_THAT(agent, Contains("vanillaworks_links 2"));
  CHECK_THAT(agent, Contains("vanillaworks_configuration_version 1"));
  CHECK_THAT(agent, Contains("vanillaworks_queued 0"));
}

TEST_CASE("bad and unsupported jobs are refused and nothing runs",
          "[platform-path]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto before = deployment.RunRecords().size();
  auto path = "/tally/00000000000000aa";
  CHECK(deployment.Post(0, path, "{").status == 400);
  CHECK(deployment.Post(0, path, R"({"bestEffort":true,"steps":7})").status ==
        400);
  CHECK(deployment.Post(0, path, R"({"bestEffort":true,"steps":[{"count":0}]})")
          .status == 400);
  auto unsupported = deployment.Post(0, path, R"({"steps":[{"count":1}]})");
  CHECK(unsupported.status == 503);
  CHECK(unsupported.body == R"({"reason":"not_supported","mayHaveRun":false})");
  CHECK(deployment.Post(0, "/tally/x", "{}").status == 404);
  CHECK(deployment.RunRecords().size() == before);
}

TEST_CASE("an entry is killed with tasks running and callers retry elsewhere",
          "[platform-entry]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto answers = std::async(
    std::launch::async, [&] { return SubmitMany(deployment, 100, 6, 1200); });
  std::this_thread::sleep_for(400ms);
  deployment.Entry(0).Kill();
  CHECK(CountServed(answers.get()) == 6);
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

TEST_CASE("an entry is paused with tasks running and resumes",
          "[platform-entry]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto first = std::async(std::launch::async, [&] {
    return deployment.Submit(0, PlatformDeployment::JobId(200), 3, 3000);
  });
  std::this_thread::sleep_for(300ms);
  deployment.Entry(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(1300ms);
  auto second = deployment.Submit(1, PlatformDeployment::JobId(200), 3, 500);
  CHECK(second.status == 200);
  deployment.Entry(0).Signal(SIGCONT);
  (void)first.get();
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

// A paused entry that resumed ran the jobs that had waited in its sockets while
// their callers ran them at another entry.
TEST_CASE("a paused entry resumes and runs no job that is now served elsewhere",
          "[platform-entry]")
{
  constexpr std::uint64_t kFirstJob = 210;
  constexpr std::uint64_t kJobs = 12;
  constexpr int kTaskMilliseconds = 900;
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto pausedAt = vanillaworks::MonotonicNow();
  deployment.Entry(0).Signal(SIGSTOP);
  std::this_thread::sleep_for(1000ms);
  std::vector<std::future<CallerAnswer>> calls;
  for (std::uint64_t i = 0; i < kJobs; ++i) {
    calls.push_back(std::async(std::launch::async, [&deployment, i] {
      auto id = PlatformDeployment::JobId(kFirstJob + i);
      auto first = deployment.Submit(0, id, 1, kTaskMilliseconds, 1500ms);
      if (first.status != 0) {
        return first;
      }
      std::this_thread::sleep_for(PlatformDeployment::kRetryDelay);
      return deployment.Submit(1, id, 1, kTaskMilliseconds);
    }));
  }
  std::this_thread::sleep_until(pausedAt + 4000ms);
  deployment.Entry(0).Signal(SIGCONT);
  std::vector<CallerAnswer> answers;
  for (auto& call : calls) {
    answers.push_back(call.get());
  }
  CHECK(CountServed(answers) == kJobs);
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

TEST_CASE("agents are killed and paused with tasks running", "[platform-agent]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto answers = std::async(
    std::launch::async, [&] { return SubmitMany(deployment, 300, 8, 900); });
  std::this_thread::sleep_for(300ms);
  deployment.Agent(0).Kill();
  deployment.Agent(1).Signal(SIGSTOP);
  std::this_thread::sleep_for(700ms);
  deployment.StartAgent(0);
  std::this_thread::sleep_for(2000ms);
  deployment.Agent(1).Signal(SIGCONT);
  CHECK(CountServed(answers.get()) == 8);
  CHECK(CountServed(SubmitMany(deployment, 350, 8, 60)) == 8);
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

// The caller was told "not run" of a task that had started on a runner that
// crashed before it answered the start call.
TEST_CASE("a runner crashes as it starts a task and no rejection denies it",
          "[platform-agent]")
{
  PlatformOptions options;
  options.entries = 1;
  options.workers = 1;
  PlatformDeployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  deployment.ControlRunner(0, "ending");
  auto answer = deployment.Submit(0, PlatformDeployment::JobId(390), 1, 100);
  INFO(ToText(answer));
  CHECK(deployment.Runner(0).WaitForExit(5) ==
        vanillaworks::standins::kEndedAtStart);
  CHECK(answer.status == 504);
  CHECK(answer.body.ends_with(R"("mayHaveRun":true})"));
}

TEST_CASE(
  "no task runs twice after its entry is lost and an agent then freezes",
  "[platform-agent]")
{
  constexpr std::size_t kTasks = 16;
  constexpr int kTaskMilliseconds = 3000;
  const auto id = PlatformDeployment::JobId(380);
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto first = std::async(std::launch::async, [&] {
    return deployment.Submit(0, id, kTasks, kTaskMilliseconds);
  });
  REQUIRE(WaitForRuns(deployment, id, kTasks).size() >= kTasks);
  // The entry is in contact with the agents until it is lost.
  REQUIRE(deployment.Submit(0, PlatformDeployment::JobId(381), 4, 10).status ==
          200);
  auto runs = WaitForRuns(deployment, id, kTasks);
  auto atWork = std::find_if(runs.begin(), runs.end(), [](const auto& aRun) {
    return aRun.endedAt == 0;
  });
  REQUIRE(atWork != runs.end());
  auto lostAt = vanillaworks::MonotonicNow();
  deployment.Entry(0).Kill();
  auto second = std::async(std::launch::async, [&] {
    std::this_thread::sleep_until(lostAt + PlatformDeployment::kRetryDelay);
    return deployment.Submit(1, id, kTasks, kTaskMilliseconds);
  });
  std::this_thread::sleep_until(lostAt + 850ms);
  deployment.Agent(atWork->worker).Signal(SIGSTOP);
  std::this_thread::sleep_for(3500ms);
  deployment.Agent(atWork->worker).Signal(SIGCONT);
  CHECK(first.get().status == 0);
  INFO(ToText(second.get()));
  // The second entry has begun runs of its own.
  CHECK(WaitForRuns(deployment, id, kTasks).size() > runs.size());
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

TEST_CASE("tasks start within the capacity of runners that have shrunk",
          "[platform-agent]")
{
  constexpr std::int64_t kOneTask = 1000;
  const auto id = PlatformDeployment::JobId(360);
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  for (std::size_t i = 0; i < deployment.Options().workers; ++i) {
    deployment.SetCapacity(i, kOneTask);
  }
  std::this_thread::sleep_for(
    vanillaworks::standins::RunnerStandIn::kRoomGrace);
  CHECK(deployment.Submit(0, id, 8, 300).status == 200);
  auto runs = deployment.RunRecords();
  CHECK(CheckRuns(runs).empty());
  // Every runner works on one task of the job at a time.
  for (const auto& one : runs) {
    CHECK(std::none_of(runs.begin(), runs.end(), [&](const auto& aOther) {
      return one.job == id && aOther.job == id && one.worker == aOther.worker &&
             one.startedAt < aOther.startedAt &&
             (one.endedAt == 0 || aOther.startedAt < one.endedAt);
    }));
  }
}

TEST_CASE("a task that crashes its runners is given up", "[platform-agent]")
{
  constexpr Milliseconds kDeadline{ 20'000 };
  constexpr std::ptrdiff_t kMaxCrashes = 4;
  const auto id = PlatformDeployment::JobId(370);
  PlatformOptions options;
  options.timeout = kDeadline;
  PlatformDeployment deployment(options);
  REQUIRE(deployment.WaitUntilReady());
  deployment.CrashRunnersUnder(id, 0);
  auto answer = std::async(std::launch::async, [&] {
    return deployment.Submit(0, id, 3, 100, kDeadline);
  });
  CHECK(CountServed(SubmitMany(deployment, 371, 8, 300)) == 8);
  auto crashed = answer.get();
  INFO(ToText(crashed));
  CHECK(crashed.status == 200);
  CHECK(crashed.body == R"({"state":"failed"})");
  auto runs = deployment.RunRecords();
  auto crashes = std::count_if(runs.begin(), runs.end(), [](const auto& aRun) {
    return aRun.crashedRunner;
  });
  CHECK(crashes > 0);
  CHECK(crashes <= kMaxCrashes);
  CHECK(CheckRuns(runs).empty());
}

TEST_CASE("agents find a restarted entry although the store has long been down",
          "[platform-agent]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.ControlStore("down");
  deployment.Entry(1).Kill();
  // Agents read the list of entries every 10 s; that fails now.
  std::this_thread::sleep_for(11s);
  deployment.StartEntry(1);
  CHECK(deployment.WaitForReadiness(1));
}

TEST_CASE("jobs complete while a runner does not respond", "[platform-agent]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.ControlRunner(0, "silent");
  std::this_thread::sleep_for(500ms);
  CHECK(CountServed(SubmitMany(deployment, 400, 8, 60)) == 8);
  deployment.ControlRunner(0, "up");
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}

TEST_CASE("nothing starts in a closed domain, even if the store fails",
          "[platform-operators]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.CloseDomain("promenade");
  std::this_thread::sleep_for(500ms);
  deployment.ControlStore("down");
  deployment.Entry(1).Kill();
  deployment.StartEntry(1);
  // The load balancer sends callers to ready entries only.
  REQUIRE(deployment.WaitForReadiness(1));
  auto since = PlatformDeployment::NowMicroseconds();
  CHECK(CountServed(SubmitMany(deployment, 500, 4, 60)) == 4);
  for (const auto& record : deployment.RunRecords()) {
    CHECK_FALSE((record.startedAt > since && record.domain == "promenade"));
  }
  deployment.ControlStore("up");
  deployment.OpenDomain("promenade");
  std::this_thread::sleep_for(1500ms);
  CHECK(CountServed(SubmitMany(deployment, 550, 16, 200)) == 16);
  auto records = deployment.RunRecords();
  CHECK(std::any_of(records.begin(), records.end(), [&](const auto& aRecord) {
    return aRecord.startedAt > since && aRecord.domain == "promenade";
  }));
}

TEST_CASE("new versions arrive after the store has lost its history",
          "[platform-operators]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.Configure(2, false);
  std::this_thread::sleep_for(1000ms);
  CHECK(deployment.Get(0, "/tally/").status == 404);
  deployment.ControlStore("forgetful");
  deployment.Configure(3, true);
  std::this_thread::sleep_for(4000ms);
  CHECK(deployment.Get(0, "/tally/").status == 200);
  CHECK(deployment.Get(1, "/tally/").status == 200);
}

// Only the entry that had served the job knew that it was cancelled.
TEST_CASE(
  "a job that is cancelled at one entry stops at the others and doesn't "
  "start there again",
  "[platform-entry]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto job = PlatformDeployment::JobId(800);
  auto answer = std::async(std::launch::async, [&deployment, &job] {
    return deployment.Submit(0, job, 3, 5000);
  });
  REQUIRE(WaitForRuns(deployment, job, 3).size() == 3);
  deployment.Cancel(1, job);
  auto cancelled = answer.get();
  CHECK(cancelled.status == 200);
  CHECK(cancelled.body == R"({"state":"cancelled"})");
  for (std::size_t entry = 0; entry < 2; ++entry) {
    auto again = deployment.Submit(entry, job, 3, 60);
    CHECK(again.body == R"({"state":"cancelled"})");
  }
  CHECK(WaitForRuns(deployment, job, 3).size() == 3);
}

// The announcement was taken for the end of the runner's tasks.
TEST_CASE("a runner's announcement to leave gets no answer and no task runs "
          "twice at once",
          "[platform-operators]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  auto answers = std::async(std::launch::async, [&deployment] {
    return SubmitMany(deployment, 700, 6, 1500);
  });
  auto runs = WaitForRuns(deployment, PlatformDeployment::JobId(700), 1);
  REQUIRE_FALSE(runs.empty());
  deployment.ControlRunner(runs.front().worker, "leaving_unheard");
  CHECK(CountServed(answers.get()) == 6);
  auto records = deployment.RunRecords();
  CHECK(CheckRuns(records).empty());
  std::erase_if(records, [&runs](const auto& aRecord) {
    return aRecord.job != runs.front().job || aRecord.task != runs.front().task;
  });
  CHECK(records.size() == 2);
}

TEST_CASE("a draining runner starts no new task", "[platform-operators]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.ControlRunner(0, "draining");
  std::this_thread::sleep_for(1200ms);
  auto since = PlatformDeployment::NowMicroseconds();
  CHECK(CountServed(SubmitMany(deployment, 600, 6, 60)) == 6);
  auto records = deployment.RunRecords();
  auto laterStarts =
    std::count_if(records.begin(), records.end(), [&](const auto& aRecord) {
      return aRecord.startedAt > since;
    });
  CHECK(laterStarts == 18);
}

TEST_CASE("an entry stops gracefully and SIGHUP ends no process",
          "[platform-stop]")
{
  PlatformDeployment deployment({});
  REQUIRE(deployment.WaitUntilReady());
  deployment.Entry(0).Signal(SIGHUP);
  deployment.Agent(0).Signal(SIGHUP);
  auto answer = std::async(std::launch::async, [&] {
    return deployment.Submit(0, PlatformDeployment::JobId(700), 4, 1500);
  });
  std::this_thread::sleep_for(300ms);
  deployment.Entry(0).Signal(SIGTERM);
  std::this_thread::sleep_for(100ms);
  CHECK_FALSE(deployment.IsReady(0));
  // It still serves callers that the load balancer has not moved yet.
  CHECK(deployment.Submit(0, PlatformDeployment::JobId(701), 2, 60).status ==
        200);
  CHECK(answer.get().status == 200);
  CHECK(deployment.Entry(0).WaitForExit(7) == 0);
  deployment.Agent(0).Signal(SIGTERM);
  CHECK(deployment.Agent(0).WaitForExit(7) == 0);
  CHECK(CountServed(SubmitMany(deployment, 710, 4, 60)) == 4);
  CHECK(CheckRuns(deployment.RunRecords()).empty());
}
