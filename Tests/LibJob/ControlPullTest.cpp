#include "LibJob/ControlFetchLimiter.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
}

TEST_CASE("only one of many peers with a newer revision is asked")
{
  ControlFetchLimiter pull;
  int asked = 0;
  for (int peer = 0; peer < 67; ++peer) {
    asked += pull.ShouldFetch(9, 0, kNow + Milliseconds(peer)) ? 1 : 0;
  }
  CHECK(asked == 1);
}

TEST_CASE("a peer without a newer revision is not asked")
{
  ControlFetchLimiter pull;
  CHECK_FALSE(pull.ShouldFetch(9, 9, kNow));
  CHECK_FALSE(pull.ShouldFetch(8, 9, kNow));
}

TEST_CASE("unanswered requests are repeated with a doubling delay")
{
  ControlFetchLimiter pull;
  int asked = 0;
  for (Milliseconds at{ 0 }; at < Milliseconds(10'000); at += Milliseconds(5)) {
    asked += pull.ShouldFetch(9, 0, kNow + at) ? 1 : 0;
    if (at == Milliseconds(600)) {
      CHECK(asked == 2);
    }
  }
  // Requests are made at 0, 0.5, 1.5, 3.5 and 7.5 s.
  CHECK(asked == 5);
}

TEST_CASE("after an answer, a newer revision is requested at once")
{
  ControlFetchLimiter pull;
  CHECK(pull.ShouldFetch(9, 0, kNow));
  pull.OnAnswered();
  CHECK_FALSE(pull.ShouldFetch(9, 9, kNow));
  CHECK(pull.ShouldFetch(10, 9, kNow + Milliseconds(1)));
}
