#include "LibJob/CancelledJobMemory.h"
#include "LibJob/JobDispatcher.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
const SubmissionId kJob("0000000000000001");
const WaiterId kFirstWaiter{ 1 };
const WaiterId kSecondWaiter{ 2 };

struct RecordingPort final : JobDispatcherPort
{
  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override
  {
    if (auto* cancelled = std::get_if<protocol::CancelledJobs>(&aMessage)) {
      announced.emplace_back(aUpstream, cancelled->jobs);
    }
    orders += std::holds_alternative<protocol::RunOrder>(aMessage) ? 1 : 0;
    cancels += std::holds_alternative<protocol::RunCancel>(aMessage) ? 1 : 0;
  }
  void Answer(WaiterId aWaiter,
              const JobRequest&,
              const JobAnswer& aAnswer) override
  {
    answers.emplace_back(aWaiter, aAnswer.state);
  }
  bool IsCallerConnected(WaiterId) override { return true; }
  void ScheduleWake() override {}
  void OnPlaced(const TaskPlaced&) override {}
  void OnEnded(const TaskEnded&) override {}
  void OnReleased(const TaskReleased&) override {}

  int orders = 0;
  int cancels = 0;
  std::vector<std::pair<UpstreamId, std::vector<SubmissionId>>> announced;
  std::vector<std::pair<WaiterId, JobState>> answers;
};

/** A dispatcher with some linked upstreams of free capacity. */
struct Fixture
{
  explicit Fixture(int aUpstreams = 1)
  {
    for (int i = 0; i < aUpstreams; ++i) {
      protocol::UpstreamStatus status;
      status.upstream = UpstreamId(fmt::format("upstream-{}", i));
      status.service = "tally";
      status.cpu = 8000;
      status.memory = 100'000;
      status.cpuFree = 8000;
      status.memoryFree = 100'000;
      status.slownessPermille = 1000;
      status.accepting = true;
      dispatcher.OnAgentUp(status, kNow);
    }
  }

  void Submit(WaiterId aWaiter, MonotonicTime aNow)
  {
    JobRequest request;
    request.id = kJob;
    request.route.service = "tally";
    request.route.stretch = 1.6;
    request.route.maxAttempts = 2;
    request.demand = { 1000, 64, 0 };
    request.estimate = Milliseconds(100);
    request.arrival = aNow;
    request.deadline = aNow + Milliseconds(1500);
    dispatcher.Submit(request, aWaiter, aNow);
  }

  RecordingPort port;
  ControlView control;
  JobDispatcher dispatcher{ {}, control, 1, port };
};
}

// A cancelled job was forgotten after five seconds.
TEST_CASE("a cancelled job whose request arrives again doesn't start")
{
  Fixture fixture;
  fixture.Submit(kFirstWaiter, kNow);
  REQUIRE(fixture.port.orders == 1);
  CHECK(fixture.dispatcher.Cancel(kJob, kNow + Milliseconds(10)));
  auto again = kNow;
  SECTION("while its runs are being stopped")
  {
    again += Milliseconds(15);
  }
  SECTION("long after the answer is forgotten")
  {
    again += JobDispatcherLimits{}.answerRetention * 4;
    fixture.dispatcher.OnTick(again);
  }
  fixture.Submit(kSecondWaiter, again);
  CHECK(fixture.port.orders == 1);
  REQUIRE(fixture.port.answers.size() == 2);
  CHECK(fixture.port.answers[1] ==
        std::pair(kSecondWaiter, JobState::Cancelled));
}

// Only the entry that served the job knew that it was cancelled.
TEST_CASE("a job that was cancelled at another entry doesn't start")
{
  Fixture fixture;
  SECTION("its request arrives later")
  {
    fixture.dispatcher.OnCancelledElsewhere({ { kJob } }, kNow);
    fixture.Submit(kFirstWaiter, kNow + Milliseconds(4000));
    CHECK(fixture.port.orders == 0);
  }
  SECTION("it is at work here")
  {
    fixture.Submit(kFirstWaiter, kNow);
    fixture.dispatcher.OnCancelledElsewhere({ { kJob } }, kNow);
    CHECK(fixture.port.cancels == 1);
  }
  REQUIRE(fixture.port.answers.size() == 1);
  CHECK(fixture.port.answers[0].second == JobState::Cancelled);
}

TEST_CASE("a cancelled job is announced to a few agents, which take turns")
{
  Fixture fixture(5);
  CHECK_FALSE(fixture.dispatcher.Cancel(kJob, kNow));
  fixture.dispatcher.OnTick(kNow);
  REQUIRE(fixture.port.announced.size() == 3);
  CHECK(fixture.port.announced[0].second == std::vector{ kJob });
  fixture.dispatcher.OnTick(kNow + Milliseconds(500));
  CHECK(fixture.port.announced.size() == 3);
  SubmissionId next("0000000000000002");
  fixture.dispatcher.Cancel(next, kNow + Milliseconds(500));
  fixture.dispatcher.OnTick(kNow + Milliseconds(600));
  REQUIRE(fixture.port.announced.size() == 6);
  CHECK(fixture.port.announced[3].first == UpstreamId("upstream-3"));
  CHECK(fixture.port.announced[3].second == std::vector{ next });
}

TEST_CASE("a cancelled job is announced once an agent is linked")
{
  Fixture fixture(0);
  fixture.dispatcher.Cancel(kJob, kNow);
  fixture.dispatcher.OnTick(kNow);
  CHECK(fixture.port.announced.empty());
  protocol::UpstreamStatus status;
  status.upstream = UpstreamId("upstream-0");
  fixture.dispatcher.OnAgentUp(status, kNow + Milliseconds(500));
  fixture.dispatcher.OnTick(kNow + Milliseconds(500));
  CHECK(fixture.port.announced.size() == 1);
}

TEST_CASE("the memory of cancelled jobs is bounded in number and time")
{
  CancelledJobMemory memory(2);
  CHECK(memory.Add(SubmissionId("a"), kNow));
  CHECK_FALSE(memory.Add(SubmissionId("a"), kNow));
  memory.Add(SubmissionId("b"), kNow);
  memory.Add(SubmissionId("c"), kNow + std::chrono::seconds(60));
  CHECK(memory.All() == std::vector{ SubmissionId("b"), SubmissionId("c") });
  CHECK_FALSE(memory.Contains(SubmissionId("a")));
  memory.OnTick(kNow + std::chrono::seconds(150));
  CHECK(memory.All() == std::vector{ SubmissionId("c") });
  CHECK_FALSE(memory.Contains(SubmissionId("b")));
}
