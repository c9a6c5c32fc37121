#ifndef Tests_LoopbackAddress_h
#define Tests_LoopbackAddress_h

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <unistd.h>

namespace vanillaworks::tests {

/**
 * Returns "host:port" with a host of the loopback range that depends on this
 * process, so that test programs can run side by side.
 */
inline std::string
LoopbackAddress(int aPort)
{
  constexpr int kHosts = 250;
  auto process = static_cast<int>(getpid());
  return "127." + std::to_string(1 + process / kHosts % kHosts) + "." +
         std::to_string(1 + process % kHosts) + ".1:" + std::to_string(aPort);
}

/** aAddress: "host:port" with a numeric host. */
inline sockaddr_in
ToSocketAddress(const std::string& aAddress)
{
  auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

}

#endif
