#include "LibService/LoopHttpServer.h"
#include "Tests/LoopbackAddress.h"
#include "Tests/RunEventBase.h"

#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <thread>

using namespace vanillaworks;
using namespace vanillaworks::service;
using namespace vanillaworks::tests;

namespace {
const std::string kAddress = LoopbackAddress(28441);

/** A connection that has sent one request; closes at the end of its scope. */
class Caller
{
public:
  Caller()
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    auto address = ToSocketAddress(kAddress);
    constexpr std::string_view kRequest =
      "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}";
    isSent_ = connect(socket_,
                      reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)) == 0 &&
              send(socket_, kRequest.data(), kRequest.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(kRequest.size());
  }
  ~Caller() { Close(); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  bool IsSent() const { return isSent_; }
  void Close()
  {
    if (socket_ >= 0) {
      close(socket_);
    }
    socket_ = -1;
  }

private:
  int socket_;
  bool isSent_ = false;
};
}

// After a freeze an entry took the time at which it read a request for the time
// of its arrival, so that the request's deadline began anew.
TEST_CASE("a request that waited in its socket has arrived before it was read")
{
  // The host counts this time in steps of a few milliseconds.
  constexpr Milliseconds kResolution{ 10 };
  auto base = NewEventBase();
  MonotonicTime receivedAt;
  ClientRegistry clients({}, [](ClientCloseReason) {});
  auto server =
    LoopHttpServer::Create(base.get(),
                           { kAddress },
                           clients,
                           [&](std::shared_ptr<LoopHttpExchange> aExchange) {
                             receivedAt = aExchange->ReceivedAt();
                             aExchange->Reply(200, "{}");
                           });
  REQUIRE_FALSE(server.IsError());
  auto connectedAfter = MonotonicNow();
  Caller caller;
  REQUIRE(caller.IsSent());
  std::this_thread::sleep_for(Milliseconds(1000));
  auto readingSince = MonotonicNow();
  RunFor(base.get(), Milliseconds(50));
  CHECK(receivedAt >= connectedAfter - kResolution);
  CHECK(receivedAt < readingSince);
}

TEST_CASE("a closed connection shows at once although its request was not read")
{
  auto base = NewEventBase();
  std::vector<bool> areDisconnected;
  ClientRegistry clients({}, [](ClientCloseReason) {});
  auto server = LoopHttpServer::Create(
    base.get(),
    { kAddress },
    clients,
    [&](std::shared_ptr<LoopHttpExchange> aExchange) {
      areDisconnected.push_back(aExchange->IsCallerDisconnected());
      aExchange->Reply(200, "{}");
    });
  REQUIRE_FALSE(server.IsError());
  Caller gone;
  REQUIRE(gone.IsSent());
  gone.Close();
  RunFor(base.get(), Milliseconds(50));
  CHECK(areDisconnected == std::vector<bool>{ true });
  Caller waiting;
  REQUIRE(waiting.IsSent());
  RunFor(base.get(), Milliseconds(50));
  CHECK(areDisconnected == std::vector<bool>{ true, false });
}

// libevent hands a body on only when it is complete, so a bound on unread bytes
// below the largest body would stall such a request forever.
TEST_CASE("a request of the largest size is served")
{
  auto base = NewEventBase();
  std::size_t received = 0;
  ClientRegistry clients({}, [](ClientCloseReason) {});
  LoopHttpServerOptions options{ kAddress };
  auto server =
    LoopHttpServer::Create(base.get(),
                           options,
                           clients,
                           [&](std::shared_ptr<LoopHttpExchange> aExchange) {
                             received = aExchange->TakeBody().size();
                             aExchange->Reply(200, "{}");
                           });
  REQUIRE_FALSE(server.IsError());
  std::string request = "POST /job HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                        std::to_string(options.maxBodyBytes) + "\r\n\r\n" +
                        std::string(options.maxBodyBytes, ' ');
  std::thread sender([&request] {
    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = ToSocketAddress(kAddress);
    if (connect(handle,
                reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0) {
      (void)send(handle, request.data(), request.size(), MSG_NOSIGNAL);
    }
    close(handle);
  });
  for (int i = 0; i < 100 && received == 0; ++i) {
    RunFor(base.get(), Milliseconds(50));
  }
  sender.join();
  CHECK(received == options.maxBodyBytes);
}
