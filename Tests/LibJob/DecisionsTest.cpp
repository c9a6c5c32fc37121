#include "LibJob/ControlView.h"
#include "LibJob/DrainRate.h"
#include "LibJob/Placement.h"
#include "LibJob/ResponseTimeEstimator.h"
#include "LibJob/RunnerHealth.h"
#include "LibJob/StartupHold.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
constexpr double kRemoteDataFactor = 1.5;

UpstreamView
MakeView(const std::string& aName, std::int64_t aFree, std::int64_t aSlowness)
{
  protocol::UpstreamStatus status;
  status.upstream = UpstreamId(aName);
  status.service = "tally";
  status.domain = FailureDomainId("pier-end");
  status.cpu = 8000;
  status.memory = 100'000;
  status.cpuFree = aFree;
  status.memoryFree = 100'000;
  status.startInMs = aFree >= 1000 ? 0 : 400;
  status.slownessPermille = aSlowness;
  status.accepting = true;
  UpstreamView view;
  view.OnLinked(kNow);
  view.OnStatus(status, kNow);
  return view;
}

JobRequest
MakeRequest(Milliseconds aEstimate)
{
  JobRequest request;
  request.route.service = "tally";
  request.route.stretch = 1.6;
  request.route.targetLatencyMs = 60;
  request.demand = { 1000, 64, 0 };
  request.estimate = aEstimate;
  request.arrival = kNow;
  request.deadline = kNow + Milliseconds(3000);
  return request;
}

std::map<std::string, int>
CountPlacements(Placement& aPlacement,
                const Placement::Views& aViews,
                const JobRequest& aJob)
{
  std::map<std::string, int> counts;
  ControlView control;
  for (int i = 0; i < 1000; ++i) {
    auto place = aPlacement.Choose(
      { aJob, Urgency::InTime, {}, {}, {} }, aViews, control, kNow);
    ++counts[place ? place->upstream.Value() : "none"];
  }
  return counts;
}
}

TEST_CASE("equal workers get equal shares, so that entries don't collide")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  for (const auto* name : { "a", "b", "c", "d" }) {
    views[UpstreamId(name)] = MakeView(name, 8000, 1000);
  }
  for (const auto& [name, count] :
       CountPlacements(placement, views, MakeRequest(Milliseconds(100)))) {
    CHECK(count > 150);
    CHECK(count < 350);
  }
}

TEST_CASE(
  "the fast worker gets more tasks at low load, the slow one at high load")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  views[UpstreamId("fast")] = MakeView("fast", 8000, 600);
  views[UpstreamId("slow")] = MakeView("slow", 8000, 1300);
  auto atLowLoad =
    CountPlacements(placement, views, MakeRequest(Milliseconds(60)));
  CHECK(atLowLoad["fast"] > 700);
  views[UpstreamId("fast")] = MakeView("fast", 2000, 600);
  views[UpstreamId("slow")] = MakeView("slow", 2000, 1300);
  auto atHighLoad =
    CountPlacements(placement, views, MakeRequest(Milliseconds(60)));
  CHECK(atHighLoad["slow"] > 600);
}

TEST_CASE("full workers share waiting tasks, so that entries don't collide")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  for (const auto* name : { "a", "b", "c", "d", "e", "f" }) {
    auto view = MakeView(name, 0, 1000);
    auto status = view.Status();
    status.startInMs = 20 + 2 * (name[0] - 'a');
    view.OnStatus(status, kNow);
    views[UpstreamId(name)] = view;
  }
  auto counts =
    CountPlacements(placement, views, MakeRequest(Milliseconds(200)));
  CHECK(counts.size() == 6);
  for (const auto& [name, count] : counts) {
    CHECK(count < 333);
  }
  SECTION("a worker with a long queue gets few of them")
  {
    auto status = views[UpstreamId("a")].Status();
    status.startInMs = 150;
    views[UpstreamId("a")].OnStatus(status, kNow);
    counts = CountPlacements(placement, views, MakeRequest(Milliseconds(200)));
    CHECK(counts["a"] < 50);
  }
}

TEST_CASE("a long task goes only to a worker where it ends in time")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  views[UpstreamId("fast")] = MakeView("fast", 0, 600);
  views[UpstreamId("slow")] = MakeView("slow", 0, 2500);
  auto counts =
    CountPlacements(placement, views, MakeRequest(Milliseconds(900)));
  CHECK(counts["fast"] == 1000);
}

// With a factor that was too low, tasks that a remote worker ended three times
// as late went there all the same.
TEST_CASE("a task goes far from its data only if it ends in time there")
{
  Placement::Views views;
  views[UpstreamId("remote")] = MakeView("remote", 8000, 1000);
  auto job = MakeRequest(Milliseconds(100));
  job.dataRack = "rack-1";
  auto near = views.at(UpstreamId("remote")).Status();
  near.labels = { "rack-1" };
  views[UpstreamId("near")].OnLinked(kNow);
  views[UpstreamId("near")].OnStatus(near, kNow);
  Placement nearby(1, 1.5);
  CHECK(CountPlacements(nearby, views, job)["remote"] > 0);
  Placement placement(1, 3);
  CHECK(CountPlacements(placement, views, job)["near"] == 1000);
}

TEST_CASE("a task queues nowhere for longer than its admission allows")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  views[UpstreamId("a")] = MakeView("a", 0, 1000);
  ControlView control;
  auto job = MakeRequest(Milliseconds(900));
  auto isPlaced = [&](Milliseconds aMaxStartDelay) {
    return placement
      .Choose(
        { job, Urgency::InTime, aMaxStartDelay, {}, {} }, views, control, kNow)
      .has_value();
  };
  CHECK(isPlaced(Milliseconds(400)));
  CHECK_FALSE(isPlaced(Milliseconds(399)));
  CHECK(placement.Reason() == PlacementFailure::TooLate);
}

TEST_CASE(
  "a task that can't end in time is refused with a jittered retry delay")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  views[UpstreamId("a")] = MakeView("a", 0, 1000);
  ControlView control;
  auto job = MakeRequest(Milliseconds(60));
  CHECK_FALSE(placement.Choose(
    { job, Urgency::InTime, {}, {}, {} }, views, control, kNow));
  CHECK(placement.Reason() == PlacementFailure::TooLate);
  CHECK(placement.RetryAfter() >= Milliseconds(1000));
  CHECK(placement.RetryAfter() != placement.RetryAfter());
}

TEST_CASE("unsuitable workers get no tasks")
{
  Placement placement(1, kRemoteDataFactor);
  Placement::Views views;
  views[UpstreamId("a")] = MakeView("a", 8000, 1000);
  ControlView control;
  auto job = MakeRequest(Milliseconds(60));
  auto choose = [&](MonotonicTime aNow) {
    return placement
      .Choose({ job, Urgency::InTime, {}, {}, {} }, views, control, aNow)
      .has_value();
  };
  CHECK(choose(kNow));
  SECTION("without recent status")
  {
    CHECK_FALSE(choose(kNow + Milliseconds(1000)));
  }
  SECTION("another service")
  {
    job.route.service = "booking";
    CHECK_FALSE(choose(kNow));
  }
  SECTION("exceeds the worker's capacity")
  {
    job.demand.cpu = 9000;
    CHECK_FALSE(choose(kNow));
    CHECK(placement.Reason() == PlacementFailure::NoWorker);
  }
  SECTION("without the required label")
  {
    job.requiredLabel = "gpu";
    CHECK_FALSE(choose(kNow));
  }
  SECTION("closed failure domain")
  {
    control.Adopt(
      { 1, ConfigurationVersion(1), {}, { FailureDomainId("pier-end") } });
    CHECK_FALSE(choose(kNow));
  }
}

TEST_CASE(
  "the control revision never decreases, and the longest path prefix matches")
{
  ControlView control;
  protocol::RouteRow wide;
  wide.name = "wide";
  wide.host = "h";
  wide.pathPrefix = "/a/";
  auto narrow = wide;
  narrow.name = "narrow";
  narrow.pathPrefix = "/a/b/";
  // A closed domain may become known before the first configuration.
  CHECK(control.Adopt({ 5, {}, {}, { FailureDomainId("pier-end") } }));
  CHECK_FALSE(control.IsKnown());
  CHECK(control.Adopt({ 7, ConfigurationVersion(2), { wide, narrow }, {} }));
  CHECK(control.IsKnown());
  CHECK_FALSE(control.Adopt({ 6, ConfigurationVersion(3), {}, {} }));
  CHECK_FALSE(control.Adopt({ 7, ConfigurationVersion(3), {}, {} }));
  CHECK(control.FindRoute("h", "/a/b/x")->name == "narrow");
  CHECK(control.FindRoute("h", "/a/x")->name == "wide");
  CHECK(control.FindRoute("other", "/a/x") == nullptr);
}

TEST_CASE("requests are held for a configuration, each for a short time")
{
  StartupHold hold;
  hold.Begin(kNow);
  CHECK(hold.MayHold(0, kNow));
  CHECK_FALSE(hold.MayHold(256, kNow));
  // A slow store answers after a few hundred milliseconds: later requests are
  // still held then, earlier ones have been rejected.
  auto later = kNow + Milliseconds(400);
  CHECK(hold.IsOver(kNow, later));
  CHECK(hold.MayHold(0, later));
  CHECK_FALSE(hold.IsOver(later - Milliseconds(100), later));
  // A process without any contact holds nothing for long.
  CHECK_FALSE(hold.MayHold(0, kNow + Milliseconds(1000)));
  CHECK(hold.IsOver(kNow + Milliseconds(990), kNow + Milliseconds(1000)));
}

TEST_CASE("one job that fails everywhere makes no worker suspect")
{
  RunnerHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnFailed(SubmissionId("poison"), kNow);
  }
  CHECK_FALSE(health.IsSuspect(kNow));
  health.OnFailed(SubmissionId("other"), kNow);
  health.OnFailed(SubmissionId("third"), kNow);
  CHECK(health.IsSuspect(kNow));
  CHECK_FALSE(health.IsSuspect(kNow + std::chrono::seconds(5)));
}

TEST_CASE("slowness is learned quickly and decays without new samples")
{
  RunnerHealth health;
  auto now = kNow;
  for (int i = 0; i < 200; ++i) {
    health.OnDone(Milliseconds(100), Milliseconds(100), now);
  }
  CHECK(health.SlownessPermille() == 1000);
  for (int i = 0; i < 20; ++i) {
    health.OnDone(Milliseconds(100), Milliseconds(600), now);
  }
  CHECK(health.SlownessPermille() > 3000);
  for (int i = 0; i < 100; ++i) {
    now += Milliseconds(100);
    health.OnTick(now);
  }
  CHECK(health.SlownessPermille() < 2000);
}

TEST_CASE("a seeded slowness that was too high is forgotten without samples")
{
  // Otherwise a worker that is taken for slow gets no tasks that show it isn't.
  RunnerHealth health;
  health.Seed(2500, kNow);
  health.OnTick(kNow + Milliseconds(100));
  CHECK(health.SlownessPermille() == 2500);
  auto now = kNow;
  for (int i = 0; i < 60; ++i) {
    now += Milliseconds(100);
    health.OnTick(now);
  }
  CHECK(health.SlownessPermille() < 1100);
}

TEST_CASE("the estimated wait follows from the completion rate")
{
  DrainRate rate;
  auto now = kNow;
  // No estimate is possible before tasks have ended.
  CHECK_FALSE(rate.EstimateWait(8, now));
  for (int i = 0; i < 400; ++i) {
    now += Milliseconds(5);
    rate.OnEnded(now);
  }
  CHECK(*rate.EstimateWait(10, now) >= Milliseconds(40));
  CHECK(*rate.EstimateWait(10, now) <= Milliseconds(60));
  // Tasks that ended long ago hardly count.
  now += Milliseconds(3000);
  CHECK(*rate.EstimateWait(10, now) > Milliseconds(5000));
}

TEST_CASE(
  "the response timeout is the mean plus four deviations, within bounds")
{
  ResponseTimeEstimator responseTimes;
  CHECK(responseTimes.Timeout() == Milliseconds(60));
  for (int i = 0; i < 50; ++i) {
    responseTimes.AddSample(Milliseconds(2));
  }
  CHECK(responseTimes.Timeout() == Milliseconds(20));
  for (int i = 0; i < 20; ++i) {
    responseTimes.AddSample(Milliseconds(i % 2 == 0 ? 5 : 45));
  }
  CHECK(responseTimes.Timeout() == Milliseconds(60));
}
