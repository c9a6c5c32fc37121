#include "LibPlatform/HttpClient.h"
#include "Tests/DroppingServer.h"
#include "Tests/LoopbackAddress.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::platform;
using namespace vanillaworks::tests;

namespace {
const std::string kAddress = LoopbackAddress(28471);
const std::string kUrl = "http://" + kAddress + "/";
constexpr Milliseconds kTimeout{ 5000 };

/** The server drops the connection once it has read the second transaction. */
void
CheckThatSecondTransactionIsLost(HttpClient& aClient,
                                 const DroppingServer& aServer)
{
  REQUIRE_FALSE(aClient.Post(kUrl, "{}").IsError());
  auto lost = aClient.Post(kUrl, "{}");
  REQUIRE(lost.IsError());
  CHECK(lost.Error() == TableError::ResponseLost);
  CHECK(aServer.Requests() == 2);
}
}

// A transaction that had been sent counted as not sent, because libcurl's
// second try was refused.
TEST_CASE("a transaction that was sent before a refused connection is not "
          "reported as not sent")
{
  DroppingServer server(kAddress, AfterDrop::Refuse);
  HttpClient client(kTimeout);
  CheckThatSecondTransactionIsLost(client, server);
  auto refused = client.Post(kUrl, "{}");
  REQUIRE(refused.IsError());
  CHECK(refused.Error() == TableError::NotSent);
}

// The second copy of a transaction meets the rows that the first one wrote, so
// that its own writer would take it for a conflict.
TEST_CASE("a transaction is sent once although the connection is lost")
{
  DroppingServer server(kAddress, AfterDrop::Accept);
  HttpClient client(kTimeout);
  CheckThatSecondTransactionIsLost(client, server);
}
