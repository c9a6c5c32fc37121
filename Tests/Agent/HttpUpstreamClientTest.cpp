#include "Services/Agent/HttpUpstreamClient.h"
#include "Tests/DroppingServer.h"
#include "Tests/LoopbackAddress.h"
#include "Tests/RunEventBase.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace vanillaworks;
using namespace vanillaworks::agent;
using namespace vanillaworks::tests;

namespace {
const std::string kAddress = LoopbackAddress(28461);

protocol::ResultCode
RunTask(service::EventLoop& aLoop, HttpUpstreamClient& aUpstream)
{
  std::optional<TaskOutcome> outcome;
  aUpstream.Run({}, [&](TaskOutcome aOutcome) { outcome = aOutcome; });
  while (!outcome) {
    RunFor(aLoop.Base(), Milliseconds(2));
  }
  return outcome->code;
}
}

// libcurl sent a task to its upstream a second time, although the upstream had
// received it and only the connection was lost.
TEST_CASE("a task is sent to its upstream once although the connection is lost")
{
  DroppingServer server(kAddress, AfterDrop::Accept);
  service::EventLoop loop;
  HttpUpstreamClient upstream(loop, "http://" + kAddress, 1);
  REQUIRE(RunTask(loop, upstream) == protocol::ResultCode::Completed);
  CHECK(RunTask(loop, upstream) == protocol::ResultCode::Failed);
  CHECK(server.Requests() == 2);
}
