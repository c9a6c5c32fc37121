#ifndef Libraries_LibService_ClientLimits_h
#define Libraries_LibService_ClientLimits_h

#include <cstddef>

namespace vanillaworks::service {

/** Bounds on what the clients of a process may occupy, all addresses together.
 */
struct ClientLimits
{
  /**
   * Open connections; 0: five eighths of the descriptors that the process may
   * open. The rest is left to links, upstreams and the store.
   */
  std::size_t maxConnections = 0;
  /** Bytes of incomplete and unread requests. */
  std::size_t maxPendingBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Event loops with a registry of their own, which share the limits. */
  std::size_t eventLoops = 1;
};

}

#endif
