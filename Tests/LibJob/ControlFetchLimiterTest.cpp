#include "LibJob/ControlFetchLimiter.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
}

TEST_CASE("only one of many peers with a newer revision is asked")
{
  ControlFetchLimiter limiter;
  int requests = 0;
  for (int peer = 0; peer < 67; ++peer) {
    requests += limiter.ShouldFetch(9, 0, kNow + Milliseconds(peer)) ? 1 : 0;
  }
  CHECK(requests == 1);
}

TEST_CASE("a peer without a newer revision is not asked")
{
  ControlFetchLimiter limiter;
  CHECK_FALSE(limiter.ShouldFetch(9, 9, kNow));
  CHECK_FALSE(limiter.ShouldFetch(8, 9, kNow));
}

TEST_CASE("unanswered requests are repeated with a doubling delay")
{
  ControlFetchLimiter limiter;
  int requests = 0;
  for (Milliseconds at{ 0 }; at < Milliseconds(10'000); at += Milliseconds(5)) {
    requests += limiter.ShouldFetch(9, 0, kNow + at) ? 1 : 0;
    if (at == Milliseconds(600)) {
      CHECK(requests == 2);
    }
  }
  // Requests are made at 0, 0.5, 1.5, 3.5 and 7.5 s.
  CHECK(requests == 5);
}

TEST_CASE("after an answer, a newer revision is requested at once")
{
  ControlFetchLimiter limiter;
  CHECK(limiter.ShouldFetch(9, 0, kNow));
  limiter.OnAnswered();
  CHECK_FALSE(limiter.ShouldFetch(9, 9, kNow));
  CHECK(limiter.ShouldFetch(10, 9, kNow + Milliseconds(1)));
}
