#include "Utilities/Ideal.h"

#include <catch2/catch.hpp>

using namespace vanillaworks::measure;

namespace {
Arrival
At(double aTime, std::vector<double> aTasks)
{
  Arrival arrival;
  arrival.at = aTime;
  arrival.tasks = std::move(aTasks);
  return arrival;
}
}

TEST_CASE("a lone task takes its run time plus one round trip")
{
  auto outcome = RunIdeal({ At(0, { 100 }) }, { { 1, 2.0, 0, 0 } }, 1, 1000);
  CHECK(outcome.ends[0] == Approx(52));
  CHECK(outcome.workDone == Approx(100));
}

TEST_CASE("a task waits for the fast slot where that ends it sooner")
{
  // The fast slot is free again at 50; 50 + 50 is before 200 on the slow slot.
  auto outcome = RunIdeal(
    { At(0, { 100, 100 }) }, { { 1, 2.0, 0, 0 }, { 1, 0.5, 0, 0 } }, 0, 1000);
  CHECK(outcome.ends[0] == Approx(100));
}

TEST_CASE("a smaller submission runs first although it arrived later")
{
  auto outcome = RunIdeal(
    { At(0, { 100, 100, 100 }), At(10, { 20 }) }, { { 1, 1, 0, 0 } }, 0, 1000);
  CHECK(outcome.ends[1] == Approx(120));
  CHECK(outcome.ends[0] == Approx(320));
}

TEST_CASE("nothing starts in a closed domain and tasks start after it opens")
{
  auto outcome =
    RunIdeal({ At(0, { 100 }), At(50, { 10 }) }, { { 1, 1, 20, 500 } }, 0, 505);
  CHECK(outcome.ends[0] == Approx(100));
  CHECK(outcome.ends[1] == Approx(510));
  CHECK(outcome.workDone == Approx(100));
}
