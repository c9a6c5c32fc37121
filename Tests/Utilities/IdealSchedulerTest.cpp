#include "Utilities/IdealScheduler.h"

#include <catch2/catch.hpp>

using namespace vanillaworks::measure;

namespace {
Arrival
MakeArrival(double aTimeMs, std::vector<double> aTaskTimesMs)
{
  Arrival arrival;
  arrival.atMs = aTimeMs;
  arrival.taskTimesMs = std::move(aTaskTimesMs);
  return arrival;
}
}

TEST_CASE("a task takes its time plus the network delay in both directions")
{
  auto result = SimulateIdealScheduler(
    { MakeArrival(0, { 100 }) }, { { 1, 2.0, 0, 0 } }, 1, 1000);
  CHECK(result.endsMs[0] == Approx(52));
  CHECK(result.workDoneMs == Approx(100));
}

TEST_CASE("a task waits for the fast slot if it ends sooner there")
{
  // The fast slot is free at 50 ms, so the second task ends there at 100 ms and
  // on the slow slot at 200 ms.
  auto result = SimulateIdealScheduler({ MakeArrival(0, { 100, 100 }) },
                                       { { 1, 2.0, 0, 0 }, { 1, 0.5, 0, 0 } },
                                       0,
                                       1000);
  CHECK(result.endsMs[0] == Approx(100));
}

TEST_CASE("a smaller submission goes first even if it arrived later")
{
  auto result = SimulateIdealScheduler(
    { MakeArrival(0, { 100, 100, 100 }), MakeArrival(10, { 20 }) },
    { { 1, 1, 0, 0 } },
    0,
    1000);
  CHECK(result.endsMs[1] == Approx(120));
  CHECK(result.endsMs[0] == Approx(320));
}

TEST_CASE(
  "no task starts on a closed upstream, and starts resume once it opens")
{
  auto result =
    SimulateIdealScheduler({ MakeArrival(0, { 100 }), MakeArrival(50, { 10 }) },
                           { { 1, 1, 20, 500 } },
                           0,
                           505);
  CHECK(result.endsMs[0] == Approx(100));
  CHECK(result.endsMs[1] == Approx(510));
  CHECK(result.workDoneMs == Approx(100));
}
