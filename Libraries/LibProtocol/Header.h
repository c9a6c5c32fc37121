#ifndef Libraries_LibProtocol_Header_h
#define Libraries_LibProtocol_Header_h

#include "LibCore/Ids.h"

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/**
 * Part of every frame, so that ordinary traffic also carries heartbeats, the
 * configuration version, load and acknowledgements.
 */
struct Header
{
  /** Sender's monotonic time in microseconds, echoed by the receiver. */
  std::int64_t sentAt = 0;
  /** The last sentAt received from the peer; 0 before the first frame. */
  std::int64_t echo = 0;
  ConfigurationVersion version;
  /**
   * Microseconds since the sender last revalidated that no newer version was in
   * force; negative if it can't confirm that its version is current.
   */
  std::int64_t versionAgeUs = -1;
  /** Agents: number of running and queued tasks from all entries. */
  std::uint32_t occupancy = 0;
  /** Agents: the upstream fails its tasks and should get only probes. */
  bool setAside = false;
  /** Entries: numbers of results that the agent may discard. */
  std::vector<std::uint64_t> acknowledged;
  /** Revision of the operators' configuration that the sender has. */
  std::uint64_t controlRevision = 0;

  MSGPACK_DEFINE_ARRAY(sentAt,
                       echo,
                       version,
                       versionAgeUs,
                       occupancy,
                       setAside,
                       acknowledged,
                       controlRevision)
};

}

#endif
