#include "LibJob/AnswerTimes.h"
#include "LibJob/ControlView.h"
#include "LibJob/DrainRate.h"
#include "LibJob/Placement.h"
#include "LibJob/RunnerCondition.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };

UpstreamView
View(const std::string& aName, std::int64_t aFree, std::int64_t aSlowness)
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
Request(Milliseconds aEstimate)
{
  JobRequest request;
  request.route.service = "tally";
  request.route.stretch = 1.6;
  request.route.targetLatencyMs = 60;
  request.room = { 1000, 64, 0 };
  request.estimate = aEstimate;
  request.arrival = kNow;
  request.deadline = kNow + Milliseconds(3000);
  return request;
}

std::map<std::string, int>
Spread(Placement& aPlacement,
       const Placement::Views& aViews,
       const JobRequest& aJob)
{
  std::map<std::string, int> counts;
  ControlView control;
  for (int i = 0; i < 1000; ++i) {
    auto place = aPlacement.Choose(
      { aJob, Urgency::InTime, {}, {} }, aViews, control, kNow);
    ++counts[place ? place->upstream.Value() : "none"];
  }
  return counts;
}
}

TEST_CASE("equal workers get equal shares, so that entries don't collide")
{
  Placement placement(1);
  Placement::Views views;
  for (const auto* name : { "a", "b", "c", "d" }) {
    views[UpstreamId(name)] = View(name, 8000, 1000);
  }
  for (const auto& [name, count] :
       Spread(placement, views, Request(Milliseconds(100)))) {
    CHECK(count > 150);
    CHECK(count < 350);
  }
}

TEST_CASE("with much room the fast worker gets more, under pressure less")
{
  Placement placement(1);
  Placement::Views views;
  views[UpstreamId("fast")] = View("fast", 8000, 600);
  views[UpstreamId("slow")] = View("slow", 8000, 1300);
  auto calm = Spread(placement, views, Request(Milliseconds(60)));
  CHECK(calm["fast"] > 700);
  views[UpstreamId("fast")] = View("fast", 2000, 600);
  views[UpstreamId("slow")] = View("slow", 2000, 1300);
  auto pressed = Spread(placement, views, Request(Milliseconds(60)));
  CHECK(pressed["slow"] > 600);
}

TEST_CASE("a long task goes only where it ends in time")
{
  Placement placement(1);
  Placement::Views views;
  views[UpstreamId("fast")] = View("fast", 0, 600);
  views[UpstreamId("slow")] = View("slow", 0, 2500);
  auto counts = Spread(placement, views, Request(Milliseconds(900)));
  CHECK(counts["fast"] == 1000);
}

TEST_CASE("what can't end in time is refused, and its return spread")
{
  Placement placement(1);
  Placement::Views views;
  views[UpstreamId("a")] = View("a", 0, 1000);
  ControlView control;
  auto job = Request(Milliseconds(60));
  CHECK_FALSE(
    placement.Choose({ job, Urgency::InTime, {}, {} }, views, control, kNow));
  CHECK(placement.Reason() == NoPlace::TooLate);
  CHECK(placement.RetryAfter() >= Milliseconds(1000));
  CHECK(placement.RetryAfter() != placement.RetryAfter());
}

TEST_CASE("closed, silent, foreign and too small workers get nothing")
{
  Placement placement(1);
  Placement::Views views;
  views[UpstreamId("a")] = View("a", 8000, 1000);
  ControlView control;
  auto job = Request(Milliseconds(60));
  auto choose = [&](MonotonicTime aNow) {
    return placement
      .Choose({ job, Urgency::InTime, {}, {} }, views, control, aNow)
      .has_value();
  };
  CHECK(choose(kNow));
  SECTION("silent")
  {
    CHECK_FALSE(choose(kNow + Milliseconds(1000)));
  }
  SECTION("another service")
  {
    job.route.service = "booking";
    CHECK_FALSE(choose(kNow));
  }
  SECTION("too small for ever")
  {
    job.room.cpu = 9000;
    CHECK_FALSE(choose(kNow));
    CHECK(placement.Reason() == NoPlace::NoWorker);
  }
  SECTION("without the label")
  {
    job.requiredLabel = "gpu";
    CHECK_FALSE(choose(kNow));
  }
  SECTION("closed")
  {
    control.Adopt(
      { 1, ConfigurationVersion(1), {}, { FailureDomainId("pier-end") } });
    CHECK_FALSE(choose(kNow));
  }
}

TEST_CASE("operators' news only moves forward, the longest prefix wins")
{
  ControlView control;
  protocol::RouteRow wide;
  wide.name = "wide";
  wide.host = "h";
  wide.pathPrefix = "/a/";
  auto narrow = wide;
  narrow.name = "narrow";
  narrow.pathPrefix = "/a/b/";
  // A closed domain may be told of before the first configuration.
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

TEST_CASE("one job that fails everywhere makes no worker suspect")
{
  RunnerCondition condition;
  for (int i = 0; i < 20; ++i) {
    condition.OnFailed(SubmissionId("poison"), kNow);
  }
  CHECK_FALSE(condition.IsSuspect(kNow));
  condition.OnFailed(SubmissionId("other"), kNow);
  condition.OnFailed(SubmissionId("third"), kNow);
  CHECK(condition.IsSuspect(kNow));
  CHECK_FALSE(condition.IsSuspect(kNow + std::chrono::seconds(5)));
}

TEST_CASE("slowness is learned quickly and forgotten without news")
{
  RunnerCondition condition;
  auto now = kNow;
  for (int i = 0; i < 200; ++i) {
    condition.OnDone(Milliseconds(100), Milliseconds(100), now);
  }
  CHECK(condition.SlownessPermille() == 1000);
  for (int i = 0; i < 20; ++i) {
    condition.OnDone(Milliseconds(100), Milliseconds(600), now);
  }
  CHECK(condition.SlownessPermille() > 3000);
  for (int i = 0; i < 100; ++i) {
    now += Milliseconds(100);
    condition.OnTick(now);
  }
  CHECK(condition.SlownessPermille() < 2000);
}

TEST_CASE("the time that waiting takes follows from how fast tasks end")
{
  DrainRate rate;
  auto now = kNow;
  // Without ends it can't be told.
  CHECK_FALSE(rate.TimeFor(8, now));
  for (int i = 0; i < 400; ++i) {
    now += Milliseconds(5);
    rate.OnEnded(now);
  }
  CHECK(*rate.TimeFor(10, now) >= Milliseconds(40));
  CHECK(*rate.TimeFor(10, now) <= Milliseconds(60));
  // What ended long ago promises nothing.
  now += Milliseconds(3000);
  CHECK(*rate.TimeFor(10, now) > Milliseconds(5000));
}

TEST_CASE("an answer is taken for lost after four deviations, within bounds")
{
  AnswerTimes times;
  CHECK(times.Timeout() == Milliseconds(60));
  for (int i = 0; i < 50; ++i) {
    times.Add(Milliseconds(2));
  }
  CHECK(times.Timeout() == Milliseconds(20));
  for (int i = 0; i < 20; ++i) {
    times.Add(Milliseconds(i % 2 == 0 ? 5 : 45));
  }
  CHECK(times.Timeout() == Milliseconds(60));
}
