#include "Cut-3.h"

#include "Net-3.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {
constexpr std::int64_t kCheckIntervalMs = 5;
}

Cut3::Cut3(const std::string& aAddress, std::string aTarget)
  : target_(std::move(aTarget))
  , listener_(ListenOn(aAddress))
{
  if (listener_ >= 0) {
    std::thread([this] { Accept(); }).detach();
  }
}

void
Cut3::WaitWhileCut() const
{
  while (isCut_) {
    SleepMs(kCheckIntervalMs);
  }
}

void
Cut3::Accept()
{
  while (true) {
    int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client >= 0) {
      std::thread([this, client] { Forward(client); }).detach();
    }
  }
}

void
Cut3::Forward(int aClient)
{
  WaitWhileCut();
  int target = ConnectTo(target_);
  std::array<pollfd, 2> ends{ { { aClient, POLLIN, 0 },
                                { target, POLLIN, 0 } } };
  bool isOpen = target >= 0;
  while (isOpen) {
    ::poll(ends.data(), ends.size(), kCheckIntervalMs);
    for (std::size_t i = 0; i < ends.size() && isOpen; ++i) {
      if (ends[i].revents == 0) {
        continue;
      }
      WaitWhileCut();
      std::string chunk(65536, '\0');
      auto size = ::recv(ends[i].fd, chunk.data(), chunk.size(), 0);
      isOpen =
        size > 0 && SendAll(ends[1 - i].fd,
                            chunk.substr(0, static_cast<std::size_t>(size)));
    }
  }
  ::close(aClient);
  if (target >= 0) {
    ::close(target);
  }
}

}
