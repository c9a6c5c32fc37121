#include "Tests/DroppingServer.h"

#include "Tests/LoopbackAddress.h"

#include <array>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaworks::tests {

namespace {
constexpr int kBacklog = 8;
constexpr int kDroppedRequest = 2;
constexpr std::string_view kAnswer =
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr std::string_view kLengthHeader = "Content-Length: ";

int
Listen(const std::string& aAddress)
{
  auto address = ToSocketAddress(aAddress);
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  bool isListening =
    bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0 &&
    listen(listener, kBacklog) == 0;
  REQUIRE(isListening);
  return listener;
}

/** Whether aBuffer holds a request with its whole body. */
bool
IsComplete(const std::string& aBuffer)
{
  auto end = aBuffer.find(kHeaderEnd);
  if (end == std::string::npos) {
    return false;
  }
  auto length = aBuffer.find(kLengthHeader);
  auto bodySize = length < end
                    ? std::stoul(aBuffer.substr(length + kLengthHeader.size()))
                    : 0;
  return aBuffer.size() >= end + kHeaderEnd.size() + bodySize;
}

/** Returns false if the connection ends first. */
bool
ReadRequest(int aSocket)
{
  std::string buffer;
  std::array<char, 4096> bytes{};
  while (!IsComplete(buffer)) {
    auto size = recv(aSocket, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(size));
  }
  return true;
}
}

DroppingServer::DroppingServer(const std::string& aAddress,
                               AfterDrop aAfterDrop)
  : listener_(Listen(aAddress))
  , afterDrop_(aAfterDrop)
  , thread_([this] { Serve(); })
{
}

DroppingServer::~DroppingServer()
{
  // This ends accept() on the server's thread.
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
}

void
DroppingServer::Serve()
{
  while (true) {
    int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    ServeConnection(connection);
    close(connection);
  }
}

void
DroppingServer::ServeConnection(int aSocket)
{
  while (ReadRequest(aSocket)) {
    if (++requests_ == kDroppedRequest) {
      if (afterDrop_ == AfterDrop::Refuse) {
        shutdown(listener_, SHUT_RDWR);
      }
      return;
    }
    send(aSocket, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
  }
}

}
