#include "LibLink/ReconnectBackoff.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::link;

namespace {
/** Ticks every 25 ms until aUntil and returns the number of attempts. */
int
CountAttemptsUntil(ReconnectBackoff& aBackoff,
                   MonotonicTime& aNow,
                   MonotonicTime aUntil)
{
  int attempts = 0;
  for (; aNow < aUntil; aNow += Milliseconds(25)) {
    if (aBackoff.IsAttemptDue(aNow)) {
      aBackoff.OnAttempt(aNow);
      ++attempts;
    }
  }
  return attempts;
}
}

TEST_CASE("an attempt is due at once after an established link is lost")
{
  ReconnectBackoff backoff;
  MonotonicTime now{ Milliseconds(1000) };
  CountAttemptsUntil(backoff, now, now + Milliseconds(2000));
  backoff.OnConnected();
  CHECK(backoff.IsAttemptDue(now));
}

TEST_CASE("a peer that returns within 30 s gets an attempt within 400 ms")
{
  ReconnectBackoff backoff;
  MonotonicTime now{ Milliseconds(1000) };
  CountAttemptsUntil(backoff, now, now + Milliseconds(60'000));
  backoff.OnConnected();
  auto lostAt = now + Milliseconds(120'000);
  now = lostAt;
  for (int outageMs = 500; outageMs < 20'000; outageMs += 700) {
    CountAttemptsUntil(backoff, now, lostAt + Milliseconds(outageMs));
    CHECK(CountAttemptsUntil(backoff, now, now + Milliseconds(425)) >= 1);
  }
}

TEST_CASE("an unreachable peer gets at most one attempt every four seconds")
{
  ReconnectBackoff backoff;
  MonotonicTime now{ Milliseconds(1000) };
  CountAttemptsUntil(backoff, now, now + Milliseconds(60'000));
  CHECK(CountAttemptsUntil(backoff, now, now + Milliseconds(40'000)) <= 11);
}
