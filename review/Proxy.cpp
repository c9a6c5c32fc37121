#include "review/Proxy.h"

#include "review/Record.h"

#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {
/** Returns false at the end of the connection. */
bool
Copy(int aFrom, int aTo)
{
  char bytes[16384];
  auto size = recv(aFrom, bytes, sizeof(bytes), 0);
  return size > 0 &&
         WriteAll(aTo, std::string(bytes, static_cast<std::size_t>(size)));
}
}

Proxy::Proxy(Address aAddress, Address aTarget)
  : address_(std::move(aAddress))
  , target_(std::move(aTarget))
{
}

Proxy::~Proxy()
{
  isClosing_ = true;
  if (listener_ >= 0) {
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
  }
  while (threads_ > 0) {
    SleepMs(1);
  }
}

bool
Proxy::Open()
{
  listener_ = Listen(address_);
  if (listener_ < 0) {
    return false;
  }
  ++threads_;
  std::thread([this] {
    Accept();
    --threads_;
  }).detach();
  return true;
}

void
Proxy::SilenceOpenConnections()
{
  std::scoped_lock lock(mutex_);
  for (const auto& pair : pairs_) {
    pair->isSilent = true;
  }
}

void
Proxy::Accept()
{
  while (!isClosing_) {
    int caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) {
      return;
    }
    int target = Connect(target_);
    if (target < 0) {
      Reset(caller);
      continue;
    }
    auto pair = std::make_shared<Pair>();
    pair->caller = caller;
    pair->target = target;
    std::scoped_lock lock(mutex_);
    pairs_.push_back(pair);
    ++threads_;
    std::thread([this, pair] {
      Forward(pair);
      --threads_;
    }).detach();
  }
}

void
Proxy::Forward(const std::shared_ptr<Pair>& aPair)
{
  constexpr int kPollMs = 5;
  bool isOpen = true;
  while (isOpen && !isClosing_) {
    if (aPair->isSilent) {
      SleepMs(kPollMs);
      continue;
    }
    pollfd sockets[2] = { { aPair->caller, POLLIN, 0 },
                          { aPair->target, POLLIN, 0 } };
    if (poll(sockets, 2, kPollMs) <= 0) {
      continue;
    }
    if (aPair->isSilent) {
      continue;
    }
    if (sockets[0].revents != 0) {
      isOpen = Copy(aPair->caller, aPair->target);
    }
    if (isOpen && sockets[1].revents != 0) {
      isOpen = Copy(aPair->target, aPair->caller);
    }
  }
  close(aPair->caller);
  close(aPair->target);
}

}
