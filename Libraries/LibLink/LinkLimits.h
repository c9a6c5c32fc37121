#ifndef Libraries_LibLink_LinkLimits_h
#define Libraries_LibLink_LinkLimits_h

#include <cstddef>

namespace vanillaworks::link {

struct LinkLimits
{
  /** Bytes that may wait to be sent before the link is closed. */
  std::size_t maxQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
};

}

#endif
