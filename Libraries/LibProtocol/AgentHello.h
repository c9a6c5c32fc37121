#ifndef Libraries_LibProtocol_AgentHello_h
#define Libraries_LibProtocol_AgentHello_h

#include "LibCore/Ids.h"
#include "LibProtocol/Capacity.h"

#include <msgpack.hpp>
#include <string>
#include <vector>

namespace vanillaworks::protocol {

/** Agent to entry, first frame on a link: registers the upstream. */
struct AgentHello
{
  UpstreamId upstream;
  Incarnation incarnation;
  FailureDomainId domain;
  std::vector<TaskKind> kinds;
  std::uint32_t slots = 0;
  Capacity capacity;
  /** Set once an entry has recorded this incarnation in the table. */
  bool registered = false;
  /** Set once the upstream has permanently stopped accepting work. */
  bool stopping = false;

  MSGPACK_DEFINE_ARRAY(upstream,
                       incarnation,
                       domain,
                       kinds,
                       slots,
                       capacity,
                       registered,
                       stopping)
};

}

#endif
