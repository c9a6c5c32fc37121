#ifndef Libraries_LibProtocol_RouteRow_h
#define Libraries_LibProtocol_RouteRow_h

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace vanillaworks::protocol {

/** A route: the requests it matches, the service that runs them, priority. */
struct RouteRow
{
  std::string name;
  std::string host;
  std::string pathPrefix;
  std::string service;
  /** 0 is the highest priority. */
  std::uint32_t priority = 0;
  std::uint32_t maxAttempts = 1;
  /** A job should end within stretch * longest task + targetLatencyMs. */
  double stretch = 1;
  std::int64_t targetLatencyMs = 0;
  std::int64_t timeoutMs = 0;

  friend bool operator==(const RouteRow&, const RouteRow&) = default;

  MSGPACK_DEFINE_ARRAY(name,
                       host,
                       pathPrefix,
                       service,
                       priority,
                       maxAttempts,
                       stretch,
                       targetLatencyMs,
                       timeoutMs)
};

}

#endif
