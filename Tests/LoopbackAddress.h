#ifndef Tests_LoopbackAddress_h
#define Tests_LoopbackAddress_h

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

}

#endif
