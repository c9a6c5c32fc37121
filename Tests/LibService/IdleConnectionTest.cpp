#include "LibService/LoopHttpClient.h"
#include "Tests/LoopbackAddress.h"
#include "Tests/RunEventBase.h"
#include "Tests/StandIns/Relay.h"
#include "Tests/StandIns/StandInServer.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace vanillaworks;
using namespace vanillaworks::service;
using namespace vanillaworks::standins;
using namespace vanillaworks::tests;

namespace {
const std::string kTarget = LoopbackAddress(28481);
const std::string kRelay = LoopbackAddress(28482);
const std::string kControl = LoopbackAddress(28483);
constexpr std::chrono::seconds kMaxIdle{ 1 };
constexpr Milliseconds kTimeout{ 5000 };

/** Sends several requests at once and returns the status of each. */
std::vector<long>
CallAtOnce(EventLoop& aLoop,
           LoopHttpClient& aClient,
           const LoopHttpRequest& aRequest,
           std::size_t aCount)
{
  std::vector<long> statuses;
  for (std::size_t i = 0; i < aCount; ++i) {
    aClient.Call(aRequest, [&](const LoopHttpResponse& aResponse) {
      statuses.push_back(aResponse.status);
    });
  }
  while (statuses.size() < aCount) {
    RunFor(aLoop.Base(), Milliseconds(2));
  }
  return statuses;
}
}

// After open connections to the store had gone silent, each retry of the feed
// took another one of them, so that a dropped queue ran jobs for seconds more.
TEST_CASE("a connection that was idle for long is not trusted with a request")
{
  EventLoop loop;
  StandInServer target(loop.Base(), kTarget, [](auto aExchange) {
    aExchange->Respond(200, "{}");
  });
  Relay relay(loop.Base(), kRelay, kTarget, kControl, Microseconds(0));
  REQUIRE(relay.IsListening());
  LoopHttpClient client(loop, 4, kMaxIdle);
  LoopHttpRequest request{ "GET", "http://" + kRelay + "/", {}, {}, kTimeout };
  CHECK(CallAtOnce(loop, client, request, 3) ==
        std::vector<long>{ 200, 200, 200 });
  LoopHttpClient operatorClient(loop, 1);
  CallAtOnce(loop,
             operatorClient,
             { "POST",
               "http://" + kControl + "/control",
               R"({"mode":"silence"})",
               {},
               kTimeout },
             1);
  // libcurl counts idle time in whole seconds.
  RunFor(loop.Base(), kMaxIdle + Milliseconds(1100));
  CHECK(CallAtOnce(loop, client, request, 1) == std::vector<long>{ 200 });
}
