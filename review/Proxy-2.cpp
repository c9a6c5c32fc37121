#include "review/Proxy-2.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaworks::review {

Proxy::Proxy(const Address& aAddress, Address aTarget)
  : target_(std::move(aTarget))
  , listener_(ListenOn(aAddress))
{
  if (IsListening()) {
    acceptor_ = std::thread([this] { Accept(); });
  }
}

Proxy::~Proxy()
{
  isStopping_ = true;
  if (!IsListening()) {
    return;
  }
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  for (auto& channel : channels_) {
    channel.join();
  }
}

void
Proxy::Accept()
{
  while (!isStopping_) {
    int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client >= 0) {
      channels_.emplace_back([this, client] { Forward(client); });
    }
  }
}

void
Proxy::Forward(int aClient)
{
  constexpr std::int64_t kConnectMs = 1000;
  constexpr int kPollMs = 5;
  constexpr std::size_t kChunk = 65'536;
  int server = ConnectTo(target_, kConnectMs);
  if (server < 0) {
    ResetSocket(aClient);
    return;
  }
  int resets = resets_;
  std::vector<char> chunk(kChunk);
  while (!isStopping_) {
    if (resets != resets_) {
      break;
    }
    if (mode_ == ProxyMode::Silent) {
      SleepMs(kPollMs);
      continue;
    }
    std::array<pollfd, 2> items{ { { aClient, POLLIN, 0 },
                                   { server, POLLIN, 0 } } };
    if (poll(items.data(), items.size(), kPollMs) <= 0) {
      continue;
    }
    bool isOver = false;
    for (std::size_t i = 0; i < items.size() && !isOver; ++i) {
      if (items[i].revents == 0) {
        continue;
      }
      bool isAnswer = i == 1;
      if (isAnswer && mode_ == ProxyMode::ResetAtAnswer) {
        isOver = true;
        continue;
      }
      auto size = recv(items[i].fd, chunk.data(), chunk.size(), 0);
      int to = isAnswer ? aClient : server;
      isOver =
        size <= 0 ||
        send(to, chunk.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) !=
          size;
    }
    if (isOver) {
      break;
    }
  }
  ResetSocket(aClient);
  ResetSocket(server);
}

}
