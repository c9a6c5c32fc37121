#ifndef Libraries_LibProtocol_ControlUpdate_h
#define Libraries_LibProtocol_ControlUpdate_h

#include "LibCore/Ids.h"
#include "LibProtocol/RouteRow.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** The operators' configuration at one revision of the store. */
struct ControlUpdate
{
  /** Increases with each change; 0 while no configuration is known. */
  std::uint64_t revision = 0;
  ConfigurationVersion version;
  std::vector<RouteRow> routes;
  std::vector<FailureDomainId> closedDomains;

  MSGPACK_DEFINE_ARRAY(revision, version, routes, closedDomains)
};

}

#endif
