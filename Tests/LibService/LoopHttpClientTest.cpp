#include "LibService/LoopHttpClient.h"
#include "Tests/DroppingServer.h"
#include "Tests/LoopbackAddress.h"
#include "Tests/RunEventBase.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace vanillaworks;
using namespace vanillaworks::service;
using namespace vanillaworks::tests;

namespace {
const std::string kAddress = LoopbackAddress(28451);
constexpr Milliseconds kTimeout{ 5000 };

LoopHttpResponse
Call(EventLoop& aLoop, LoopHttpClient& aClient, const char* aMethod)
{
  std::optional<LoopHttpResponse> response;
  aClient.Call({ aMethod, "http://" + kAddress + "/", "{}", {}, kTimeout },
               [&](LoopHttpResponse aResponse) { response = aResponse; });
  while (!response) {
    RunFor(aLoop.Base(), Milliseconds(2));
  }
  return *response;
}
}

// An agent took a start call for never sent although the runner had executed it
// and crashed: libcurl had sent it again, and that connection was refused.
TEST_CASE(
  "a request that was sent before a refused connection may have arrived")
{
  DroppingServer server(kAddress, AfterDrop::Refuse);
  EventLoop loop;
  LoopHttpClient client(loop, 1);
  REQUIRE(Call(loop, client, "POST").status == 200);
  auto method = GENERATE(as<const char*>{}, "POST", "GET");
  auto lost = Call(loop, client, method);
  CHECK(lost.status == 0);
  CHECK_FALSE(lost.wasNeverSent);
  CHECK(server.Requests() == 2);
  // Nothing is sent on a connection that is refused.
  CHECK(Call(loop, client, method).wasNeverSent);
}

// The answer to the second copy of a request says nothing about the first one.
TEST_CASE(
  "a request that isn't idempotent is sent once on a dropped connection")
{
  DroppingServer server(kAddress, AfterDrop::Accept);
  EventLoop loop;
  LoopHttpClient client(loop, 1);
  REQUIRE(Call(loop, client, "POST").status == 200);
  auto lost = Call(loop, client, "POST");
  CHECK(lost.status == 0);
  CHECK_FALSE(lost.wasNeverSent);
  CHECK(server.Requests() == 2);
  CHECK(Call(loop, client, "POST").status == 200);
}

TEST_CASE("an idempotent request is sent again on a dropped connection")
{
  DroppingServer server(kAddress, AfterDrop::Accept);
  EventLoop loop;
  LoopHttpClient client(loop, 1);
  REQUIRE(Call(loop, client, "GET").status == 200);
  CHECK(Call(loop, client, "GET").status == 200);
  CHECK(server.Requests() == 3);
}
