#include "LibService/ClientConnections.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::service;

namespace {
const MonotonicTime kNow{ std::chrono::hours(1) };
constexpr std::size_t kMaxConnections = 3;

MonotonicTime
After(int aMs)
{
  return kNow + Milliseconds(aMs);
}

ClientLimits
Limits()
{
  ClientLimits limits;
  limits.maxPendingBytes = 1000;
  return limits;
}
}

// A crowd of connections that never send a request kept others out.
TEST_CASE("of too many connections, the least recently active one is closed")
{
  ClientConnections connections(Limits());
  auto first = connections.Add(After(0));
  auto second = connections.Add(After(1));
  connections.Add(After(2));
  CHECK_FALSE(connections.TakeExcess(kMaxConnections));
  connections.AddPendingBytes(first, 10, After(3));
  connections.Add(After(4));
  auto excess = connections.TakeExcess(kMaxConnections);
  REQUIRE(excess);
  CHECK(excess->connection == second);
  CHECK(excess->reason == ClientCloseReason::TooManyConnections);
  CHECK_FALSE(connections.TakeExcess(kMaxConnections));
  CHECK(connections.Count() == kMaxConnections);
}

TEST_CASE("a caller that waits for its response is closed only after others")
{
  ClientConnections connections(Limits());
  auto waiting = connections.Add(After(0));
  connections.OnRequest(waiting);
  auto idle = connections.Add(After(1));
  auto excess = connections.TakeExcess(1);
  REQUIRE(excess);
  CHECK(excess->connection == idle);
  connections.Add(After(2));
  connections.OnReplied(waiting, After(3));
  CHECK(connections.TakeExcess(1)->connection != waiting);
}

// Incomplete requests of many clients exceeded the memory of the process.
TEST_CASE("of too many pending bytes, the largest request is closed")
{
  ClientConnections connections(Limits());
  auto small = connections.Add(After(0));
  auto large = connections.Add(After(1));
  connections.AddPendingBytes(small, 100, After(2));
  connections.AddPendingBytes(large, 500, After(2));
  connections.AddPendingBytes(large, 400, After(3));
  CHECK_FALSE(connections.TakeExcess(kMaxConnections));
  connections.AddPendingBytes(small, 1, After(4));
  auto excess = connections.TakeExcess(kMaxConnections);
  REQUIRE(excess);
  CHECK(excess->connection == large);
  CHECK(excess->reason == ClientCloseReason::TooManyPendingBytes);
  CHECK(connections.PendingBytes() == 101);
}

// Requests that wait with large bodies made the limit close every connection
// that held none, which freed nothing.
TEST_CASE("connections without pending bytes aren't closed for those of others")
{
  ClientConnections connections(Limits());
  connections.Add(After(0));
  auto waiting = connections.Add(After(1));
  connections.AddPendingBytes(waiting, 1001, After(2));
  connections.OnRequest(waiting);
  auto excess = connections.TakeExcess(kMaxConnections);
  REQUIRE(excess);
  CHECK(excess->connection == waiting);
  CHECK_FALSE(connections.TakeExcess(kMaxConnections));
}

TEST_CASE("bytes of released and removed requests don't count")
{
  ClientConnections connections(Limits());
  auto released = connections.Add(kNow);
  auto removed = connections.Add(kNow);
  connections.AddPendingBytes(released, 900, kNow);
  connections.AddPendingBytes(removed, 100, kNow);
  connections.SetPendingBytes(released, 0);
  CHECK(connections.PendingBytes() == 100);
  connections.Remove(removed);
  CHECK(connections.PendingBytes() == 0);
  connections.AddPendingBytes(removed, 5000, kNow);
  CHECK_FALSE(connections.TakeExcess(kMaxConnections));
}
