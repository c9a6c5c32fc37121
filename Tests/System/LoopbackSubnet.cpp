#include "Tests/System/LoopbackSubnet.h"

#include "Tests/LoopbackAddress.h"

#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaworks::system {

namespace {
constexpr std::size_t kSubnets = 250;
constexpr std::size_t kClaimHost = 254;
constexpr int kClaimPort = 7999;
}

LoopbackSubnet::LoopbackSubnet()
{
  auto first = static_cast<std::size_t>(::getpid());
  for (std::size_t i = 0; i < kSubnets; ++i) {
    if (Claim((first + i) % kSubnets + 1)) {
      return;
    }
  }
  std::cerr << "no loopback subnet is free\n";
  std::abort();
}

LoopbackSubnet::~LoopbackSubnet()
{
  ::close(socket_);
}

bool
LoopbackSubnet::Claim(std::size_t aSubnet)
{
  subnet_ = aSubnet;
  // Child processes must not keep the claim.
  socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address =
    tests::ToSocketAddress(fmt::format("{}:{}", Host(kClaimHost), kClaimPort));
  bool isFree = ::bind(socket_,
                       reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0 &&
                ::listen(socket_, 1) == 0;
  if (!isFree) {
    ::close(socket_);
  }
  return isFree;
}

std::string
LoopbackSubnet::Host(std::size_t aNumber) const
{
  return fmt::format("127.77.{}.{}", subnet_, aNumber);
}

}
