#include "LibJob/JobDispatcher.h"

#include <catch2/catch.hpp>
#include <set>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
const SubmissionId kJob("0000000000000001");
const UpstreamId kUpstream("upstream");
const WaiterId kFirstWaiter{ 1 };
const WaiterId kSecondWaiter{ 2 };
constexpr Milliseconds kWork{ 100 };
constexpr Milliseconds kCallerTimeout{ 1500 };

/** Records what the dispatcher sends, and plays the callers' connections. */
struct RecordingPort final : JobDispatcherPort
{
  void SendToAgent(const UpstreamId&, protocol::Message aMessage) override
  {
    if (auto* order = std::get_if<protocol::RunOrder>(&aMessage)) {
      orders.push_back(std::move(*order));
    }
  }
  void Answer(WaiterId aWaiter,
              const JobRequest&,
              const JobAnswer& aAnswer) override
  {
    answers.emplace_back(aWaiter, aAnswer);
  }
  bool IsCallerConnected(WaiterId aWaiter) override
  {
    return !disconnected.contains(aWaiter);
  }
  void ScheduleWake() override {}
  void OnPlaced(const TaskPlaced&) override {}
  void OnEnded(const TaskEnded&) override {}
  void OnReleased(const TaskReleased& aEvent) override
  {
    released.push_back(aEvent);
  }

  std::set<WaiterId> disconnected;
  std::vector<protocol::RunOrder> orders;
  std::vector<TaskReleased> released;
  std::vector<std::pair<WaiterId, JobAnswer>> answers;
};

/** A dispatcher with one linked upstream of free capacity. */
struct Fixture
{
  Fixture() { dispatcher.OnAgentUp(Status(), kNow); }

  static protocol::UpstreamStatus Status()
  {
    protocol::UpstreamStatus status;
    status.upstream = kUpstream;
    status.service = "tally";
    status.domain = FailureDomainId("pier-end");
    status.cpu = 8000;
    status.memory = 100'000;
    status.cpuFree = 8000;
    status.memoryFree = 100'000;
    status.slownessPermille = 1000;
    status.accepting = true;
    return status;
  }

  static JobRequest Request(MonotonicTime aArrival)
  {
    JobRequest request;
    request.id = kJob;
    request.route.service = "tally";
    request.route.stretch = 1.6;
    request.route.targetLatencyMs = 60;
    request.route.maxAttempts = 2;
    request.demand = { 1000, 64, 0 };
    request.estimate = kWork;
    request.arrival = aArrival;
    request.deadline = aArrival + kCallerTimeout;
    return request;
  }

  void Report(protocol::RunOutcome aOutcome, MonotonicTime aNow)
  {
    dispatcher.OnReport(
      kUpstream, { kJob, { { { 0, 1 }, aOutcome, 10 } } }, aNow);
  }

  RecordingPort port;
  ControlView control;
  JobDispatcher dispatcher{ {}, control, 1, port };
};
}

// An entry that was frozen ran requests from its sockets although their callers
// had gone and had sent their jobs to another entry.
TEST_CASE("a job whose caller has disconnected is not started")
{
  Fixture fixture;
  fixture.port.disconnected = { kFirstWaiter };
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  CHECK(fixture.port.orders.empty());
  CHECK_FALSE(fixture.dispatcher.IsServing(kJob));
}

// A frozen entry holds jobs that it accepted before; their callers may have
// gone while it could not notice.
TEST_CASE("a task is not placed again once its caller has disconnected")
{
  Fixture fixture;
  auto request = Fixture::Request(kNow);
  request.deadline = kNow + std::chrono::seconds(10);
  fixture.dispatcher.Submit(request, kFirstWaiter, kNow);
  REQUIRE(fixture.port.orders.size() == 1);
  fixture.port.disconnected = { kFirstWaiter };
  auto afterFreeze = kNow + std::chrono::seconds(4);
  fixture.dispatcher.OnStatus(Fixture::Status(), afterFreeze);
  fixture.Report(protocol::RunOutcome::Stopped, afterFreeze);
  CHECK(fixture.port.orders.size() == 1);
  CHECK_FALSE(fixture.dispatcher.IsServing(kJob));
}

TEST_CASE("a new link's resume names the runs that were cancelled")
{
  Fixture fixture;
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  SECTION("by a caller that has gone")
  {
    fixture.dispatcher.OnWaiterDisconnected(kJob, kFirstWaiter);
    auto awaited = fixture.dispatcher.OnAgentUp(Fixture::Status(), kNow);
    REQUIRE(awaited.size() == 1);
    CHECK(awaited[0].isCancelled);
  }
  SECTION("but not those that are served")
  {
    auto awaited = fixture.dispatcher.OnAgentUp(Fixture::Status(), kNow);
    REQUIRE(awaited.size() == 1);
    CHECK_FALSE(awaited[0].isCancelled);
  }
}

// After a freeze, the sockets hold a caller's old attempt and its present one,
// in any order.
TEST_CASE("an old attempt does not take the job from the caller's present one")
{
  Fixture fixture;
  fixture.dispatcher.Submit(Fixture::Request(kNow), kSecondWaiter, kNow);
  fixture.port.disconnected = { kFirstWaiter };
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  fixture.dispatcher.OnWaiterDisconnected(kJob, kFirstWaiter);
  fixture.Report(protocol::RunOutcome::Done, kNow + kWork);
  REQUIRE(fixture.port.answers.size() == 1);
  CHECK(fixture.port.answers.front().first == kSecondWaiter);
  CHECK(fixture.port.answers.front().second.state == JobState::Completed);
}

// The time that a request waits in a socket counts towards its deadline.
TEST_CASE("a job that is read after its deadline is rejected as not run")
{
  Fixture fixture;
  auto readAt = kNow + kCallerTimeout;
  fixture.dispatcher.OnStatus(Fixture::Status(), readAt);
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, readAt);
  CHECK(fixture.port.orders.empty());
  REQUIRE(fixture.port.answers.size() == 1);
  CHECK(fixture.port.answers.front().second.state == JobState::Rejected);
}

TEST_CASE("a job that is read after its goal is served before its deadline")
{
  Fixture fixture;
  auto readAt = kNow + Milliseconds(300);
  REQUIRE(readAt > Fixture::Request(kNow).Goal());
  fixture.dispatcher.OnStatus(Fixture::Status(), readAt);
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, readAt);
  CHECK(fixture.port.orders.size() == 1);
  fixture.Report(protocol::RunOutcome::Done, readAt + kWork);
  REQUIRE(fixture.port.answers.size() == 1);
  CHECK(fixture.port.answers.front().second.state == JobState::Completed);
}

TEST_CASE("a job that ran for an earlier attempt isn't rejected as not run")
{
  Fixture fixture;
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  fixture.dispatcher.OnWaiterDisconnected(kJob, kFirstWaiter);
  fixture.Report(protocol::RunOutcome::Stopped, kNow + kWork);
  REQUIRE_FALSE(fixture.dispatcher.IsServing(kJob));
  CHECK(fixture.dispatcher.MayRun(kJob));
  auto later = kNow + Milliseconds(1300);
  fixture.dispatcher.OnAgentDown(kUpstream, later);
  fixture.dispatcher.Submit(Fixture::Request(later), kSecondWaiter, later);
  auto atDeadline = later + kCallerTimeout;
  fixture.dispatcher.OnTick(atDeadline);
  REQUIRE(fixture.port.answers.size() == 1);
  CHECK(fixture.port.answers.front().second.state == JobState::GivenUp);
}

TEST_CASE("an entry knows which jobs may have started")
{
  Fixture fixture;
  CHECK_FALSE(fixture.dispatcher.MayRun(kJob));
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  CHECK(fixture.dispatcher.MayRun(kJob));
  fixture.dispatcher.OnWaiterDisconnected(kJob, kFirstWaiter);
  fixture.Report(protocol::RunOutcome::NoRoom, kNow);
  CHECK_FALSE(fixture.dispatcher.MayRun(kJob));
}

TEST_CASE("a job that waits for capacity may still run")
{
  RecordingPort port;
  ControlView control;
  JobDispatcher dispatcher({}, control, 1, port);
  dispatcher.BeginWarmUp(kNow);
  dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  REQUIRE(port.orders.empty());
  CHECK(dispatcher.MayRun(kJob));
  dispatcher.OnAgentUp(Fixture::Status(), kNow + Milliseconds(5));
  dispatcher.OnTick(kNow + Milliseconds(10));
  CHECK(port.orders.size() == 1);
}

TEST_CASE("own runs are remembered though another loss was known first")
{
  Fixture fixture;
  UpstreamId other("other");
  protocol::LostRuns lost{ { { kJob, 0, 1 } }, protocol::LossState::Suspected };
  fixture.dispatcher.OnLostRuns(other, lost, kNow);
  fixture.dispatcher.Submit(Fixture::Request(kNow), kFirstWaiter, kNow);
  fixture.dispatcher.OnWaiterDisconnected(kJob, kFirstWaiter);
  fixture.Report(protocol::RunOutcome::Stopped, kNow + kWork);
  lost.state = protocol::LossState::Retracted;
  fixture.dispatcher.OnLostRuns(other, lost, kNow + kWork);
  CHECK(fixture.dispatcher.MayRun(kJob));
}

TEST_CASE("a job that has started is remembered after its latest run")
{
  Fixture fixture;
  auto play = [&fixture](const SubmissionId& aJob, Milliseconds aAt) {
    auto at = kNow + aAt;
    fixture.dispatcher.OnStatus(Fixture::Status(), at);
    auto request = Fixture::Request(at);
    request.id = aJob;
    fixture.dispatcher.Submit(request, kFirstWaiter, at);
    fixture.dispatcher.OnWaiterDisconnected(aJob, kFirstWaiter);
    fixture.dispatcher.OnReport(
      kUpstream,
      { aJob, { { { 0, 1 }, protocol::RunOutcome::Stopped, 10 } } },
      at + kWork);
  };
  play(kJob, Milliseconds(0));
  play(kJob, Milliseconds(29'000));
  play(SubmissionId("00000000000000c1"), Milliseconds(31'000));
  play(kJob, Milliseconds(50'000));
  play(SubmissionId("00000000000000c2"), Milliseconds(61'500));
  CHECK(fixture.dispatcher.MayRun(kJob));
}

TEST_CASE("an entry tells that it gives up on a run of a lost agent")
{
  Fixture fixture;
  auto request = Fixture::Request(kNow);
  request.deadline = kNow + std::chrono::seconds(10);
  fixture.dispatcher.Submit(request, kFirstWaiter, kNow);
  fixture.dispatcher.OnAgentDown(kUpstream, kNow + kWork);
  fixture.dispatcher.OnTick(kNow + Milliseconds(500));
  CHECK(fixture.port.released.empty());
  fixture.dispatcher.OnTick(kNow + kWork + Milliseconds(1400));
  REQUIRE(fixture.port.released.size() == 1);
  CHECK(fixture.port.released[0].upstream == kUpstream);
  CHECK(fixture.port.released[0].sinceLoss == Milliseconds(1400));
}
