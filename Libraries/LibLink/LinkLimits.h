#ifndef Libraries_LibLink_LinkLimits_h
#define Libraries_LibLink_LinkLimits_h

#include <cstddef>

namespace vanillaworks::link {

struct LinkLimits
{
  /** A link is closed when more unsent bytes than this are queued. */
  std::size_t maxQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
  /**
   * Accepted connections on which no link is open yet; the oldest is closed
   * when more than these are there. 0: a quarter of the descriptors that the
   * process may open.
   */
  std::size_t maxHandshakes = 0;
};

}

#endif
