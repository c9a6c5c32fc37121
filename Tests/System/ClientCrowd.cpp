#include "Tests/System/ClientCrowd.h"

#include "Tests/LoopbackAddress.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaworks::system {

namespace {
constexpr int kReceiveBufferBytes = 4096;
/** A crowd of which no connection takes a byte for this time is done. */
constexpr int kIdleMs = 1500;

int
Connect(const std::string& aAddress)
{
  int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(handle,
             SOL_SOCKET,
             SO_RCVBUF,
             &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  auto address = tests::ToSocketAddress(aAddress);
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(handle);
    return -1;
  }
  return handle;
}

struct Sender
{
  int handle;
  std::size_t left;
  std::size_t offset = 0;

  /** Returns false once nothing more is to be sent. */
  bool Send(std::string_view aText)
  {
    auto chunk = aText.substr(offset, left);
    auto sent =
      send(handle, chunk.data(), chunk.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    left -= static_cast<std::size_t>(sent);
    offset = (offset + static_cast<std::size_t>(sent)) % aText.size();
    return left > 0;
  }
};
}

ClientCrowd::ClientCrowd(const ClientCrowdOptions& aOptions)
{
  std::vector<Sender> senders;
  for (std::size_t i = 0; i < aOptions.connections; ++i) {
    int handle = Connect(aOptions.address);
    if (handle < 0) {
      continue;
    }
    sockets_.push_back(handle);
    if (aOptions.bytesPerConnection > 0) {
      senders.push_back({ handle, aOptions.bytesPerConnection });
    }
  }
  while (!senders.empty()) {
    std::vector<pollfd> waiting;
    for (const auto& sender : senders) {
      waiting.push_back({ sender.handle, POLLOUT, 0 });
    }
    if (poll(waiting.data(), waiting.size(), kIdleMs) <= 0) {
      return;
    }
    std::vector<Sender> remaining;
    for (std::size_t i = 0; i < senders.size(); ++i) {
      bool isReady = waiting[i].revents != 0;
      if (!isReady || senders[i].Send(aOptions.text)) {
        remaining.push_back(senders[i]);
      }
    }
    senders = std::move(remaining);
  }
}

ClientCrowd::~ClientCrowd()
{
  for (int handle : sockets_) {
    close(handle);
  }
}

}
