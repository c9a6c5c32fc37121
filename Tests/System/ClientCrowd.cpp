#include "Tests/System/ClientCrowd.h"

#include "LibCore/Time.h"
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
/**
 * A crowd that can send less than this in an interval is done. A socket whose
 * peer doesn't read still takes a few bytes now and then.
 */
constexpr std::size_t kMinBytesPerInterval = std::size_t{ 1 } << 20U;
constexpr Milliseconds kInterval{ 1500 };

int
Connect(const std::string& aAddress)
{
  int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  setsockopt(handle,
             SOL_SOCKET,
             SO_RCVBUF,
             &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  auto address = tests::ToSocketAddress(aAddress);
  (void)connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return handle;
}

struct Sender
{
  int handle;
  std::size_t left;
  std::size_t offset = 0;
  bool isConnected = false;

  /** Returns false once nothing more is to be sent. */
  bool Send(std::string_view aText)
  {
    if (left == 0) {
      // Waits for the connection only.
      return false;
    }
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
    sockets_.push_back(Connect(aOptions.address));
    senders.push_back({ sockets_.back(), aOptions.bytesPerConnection });
  }
  std::size_t sentInInterval = 0;
  auto intervalEnd = MonotonicNow() + kInterval;
  while (!senders.empty()) {
    std::vector<pollfd> waiting;
    for (const auto& sender : senders) {
      waiting.push_back({ sender.handle, POLLOUT, 0 });
    }
    poll(waiting.data(), waiting.size(), static_cast<int>(kInterval.count()));
    std::vector<Sender> remaining;
    for (std::size_t i = 0; i < senders.size(); ++i) {
      auto& sender = senders[i];
      auto before = sender.left;
      bool isReady = waiting[i].revents != 0;
      bool isFirst = isReady && !sender.isConnected;
      sender.isConnected = sender.isConnected || isReady;
      connected_ += isFirst && (waiting[i].revents & POLLERR) == 0 ? 1 : 0;
      if (!isReady || sender.Send(aOptions.text)) {
        remaining.push_back(sender);
      }
      sentInInterval += before - sender.left;
    }
    senders = std::move(remaining);
    if (MonotonicNow() < intervalEnd) {
      continue;
    }
    if (sentInInterval < kMinBytesPerInterval) {
      return;
    }
    sentInInterval = 0;
    intervalEnd = MonotonicNow() + kInterval;
  }
}

ClientCrowd::~ClientCrowd()
{
  for (int handle : sockets_) {
    close(handle);
  }
}

}
