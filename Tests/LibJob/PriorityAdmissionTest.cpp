#include "LibJob/PriorityAdmission.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kStart{ std::chrono::hours(1) };
constexpr double kGuaranteedShare = 0.5;

/** Jobs of one route, which take one core for each task. */
struct Route
{
  std::uint32_t priority;
  std::uint32_t tasks;
  Milliseconds run;
  int jobsPerSecond;
};

JobRequest
MakeJob(const Route& aRoute, MonotonicTime aArrival)
{
  JobRequest job;
  job.route.service = "tally";
  job.route.priority = aRoute.priority;
  job.route.stretch = 1.6;
  job.route.targetLatencyMs = 60;
  job.tasks = aRoute.tasks;
  job.demand = { 1000, 1, 0 };
  job.estimate = aRoute.run;
  job.arrival = aArrival;
  return job;
}

/**
 * Workers that share one queue: a job's tasks start when the work admitted
 * before them is done. Returns the share of each priority's jobs that ended
 * within their goal.
 */
std::map<std::uint32_t, double>
PlayLoad(AdmissionPolicy& aPolicy,
         const std::vector<Route>& aRoutes,
         int aCores)
{
  constexpr int kSteps = 5000;
  constexpr Milliseconds kStep{ 1 };
  std::map<std::uint32_t, double> asked;
  std::map<std::uint32_t, double> ended;
  std::vector<double> due(aRoutes.size());
  double queuedCoreMs = 0;
  auto now = kStart;
  for (int step = 0; step < kSteps; ++step, now += kStep) {
    queuedCoreMs = std::max(0.0, queuedCoreMs - aCores);
    for (std::size_t i = 0; i < aRoutes.size(); ++i) {
      const auto& route = aRoutes[i];
      for (due[i] += route.jobsPerSecond / 1000.0; due[i] >= 1; --due[i]) {
        auto job = MakeJob(route, now);
        ++asked[route.priority];
        aPolicy.OnAsked(job, now);
        Milliseconds delay(static_cast<std::int64_t>(queuedCoreMs / aCores));
        auto limit = aPolicy.MaxStartDelay(job, now);
        bool isInTime = now + delay + job.estimate <= job.Goal();
        if (isInTime && (!limit || delay <= *limit)) {
          aPolicy.OnAdmitted(job, now);
          ++ended[route.priority];
          queuedCoreMs += static_cast<double>(job.tasks) *
                          static_cast<double>(job.estimate.count());
        }
      }
    }
  }
  for (auto& [priority, jobs] : ended) {
    jobs /= asked[priority];
  }
  return ended;
}

/** Short wide urgent jobs beside long ones; 100 cores carry the load once. */
std::vector<Route>
Routes(int aTimes)
{
  return { { 0, 8, Milliseconds(60), 30 * aTimes },
           { 1, 2, Milliseconds(200), 110 * aTimes },
           { 2, 4, Milliseconds(900), 7 * aTimes } };
}
constexpr int kCores = 100;
}

// Under overload, long jobs were admitted by their long goals and filled the
// queues, so that the most urgent route was served worst.
TEST_CASE("at several times the capacity the most urgent route is served best")
{
  for (int times : { 2, 3, 7 }) {
    INFO("load " << times);
    PriorityAdmission byPriority(kGuaranteedShare);
    auto served = PlayLoad(byPriority, Routes(times), kCores);
    CHECK(served[0] > 0.6);
    CHECK(served[0] >= served[1]);
    CHECK(served[0] >= served[2]);
    auto byGoal = AdmissionPolicy::Create(AdmissionKind::ByGoal, 0);
    auto before = PlayLoad(*byGoal, Routes(times), kCores);
    CHECK(before[0] < before[2]);
  }
}

TEST_CASE("no priority is starved while it asks for work")
{
  PriorityAdmission policy(kGuaranteedShare);
  auto served = PlayLoad(policy, Routes(7), kCores);
  // A sixth of 100 cores; the routes ask for 308 and 176 of them.
  CHECK(served[1] >= 0.9 * 100 / 6 / 308);
  CHECK(served[2] >= 0.9 * 100 / 6 / 176);
}

TEST_CASE("below the capacity every job is admitted")
{
  PriorityAdmission policy(kGuaranteedShare);
  for (const auto& [priority, share] : PlayLoad(policy, Routes(1), 150)) {
    INFO("priority " << priority);
    CHECK(share == 1.0);
  }
}

// Shorter queues rejected jobs at a load that nearly fitted, and left workers
// idle.
TEST_CASE("nothing is limited while most work is admitted")
{
  PriorityAdmission policy(0);
  auto urgent = MakeJob({ 0, 8, Milliseconds(60), 1 }, kStart);
  auto other = MakeJob({ 2, 4, Milliseconds(900), 1 }, kStart);
  for (int i = 0; i < 19; ++i) {
    policy.OnAsked(urgent, kStart);
    policy.OnAdmitted(urgent, kStart);
    policy.OnAsked(other, kStart);
    policy.OnAdmitted(other, kStart);
  }
  constexpr int kRejected = 10;
  for (int i = 0; i < kRejected; ++i) {
    CHECK_FALSE(policy.MaxStartDelay(other, kStart));
    policy.OnAsked(other, kStart);
  }
  CHECK(policy.MaxStartDelay(other, kStart));
}

TEST_CASE("routes of another service don't limit a job")
{
  PriorityAdmission policy(0);
  Route urgent{ 0, 8, Milliseconds(60), 1 };
  Route other{ 2, 4, Milliseconds(900), 1 };
  auto job = MakeJob(other, kStart);
  policy.OnAsked(MakeJob(urgent, kStart), kStart);
  policy.OnAdmitted(MakeJob(urgent, kStart), kStart);
  policy.OnAsked(job, kStart);
  CHECK(policy.MaxStartDelay(job, kStart));
  job.route.service = "ledger";
  CHECK_FALSE(policy.MaxStartDelay(job, kStart));
}

// An urgent route with few short jobs counted as absent beside a flood of
// others, which then filled the queues.
TEST_CASE("an urgent route that asks for little still limits the others")
{
  PriorityAdmission policy(0);
  auto now = kStart;
  for (int i = 0; i < 200; ++i, now += Milliseconds(1)) {
    policy.OnAsked(MakeJob({ 2, 4, Milliseconds(900), 1 }, now), now);
  }
  policy.OnAsked(MakeJob({ 0, 1, Milliseconds(60), 1 }, now), now);
  auto other = MakeJob({ 2, 4, Milliseconds(900), 1 }, now);
  auto urgent = MakeJob({ 0, 1, Milliseconds(60), 1 }, now);
  auto limit = policy.MaxStartDelay(other, now);
  REQUIRE(limit);
  CHECK(*limit <= *policy.MaxStartDelay(urgent, now) / 2);
}

// A route that asks for nothing must not keep capacity idle.
TEST_CASE("a priority that stopped asking doesn't limit others")
{
  PriorityAdmission policy(0);
  Route urgent{ 0, 8, Milliseconds(60), 1 };
  Route other{ 2, 4, Milliseconds(900), 1 };
  policy.OnAsked(MakeJob(urgent, kStart), kStart);
  auto later = kStart + std::chrono::seconds(10);
  auto job = MakeJob(other, later);
  policy.OnAsked(job, later);
  CHECK_FALSE(policy.MaxStartDelay(job, later));
}
