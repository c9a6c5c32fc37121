#ifndef Libraries_LibProtocol_UpstreamStatus_h
#define Libraries_LibProtocol_UpstreamStatus_h

#include "LibCore/Ids.h"
#include "LibProtocol/UpstreamFigures.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace vanillaworks::protocol {

/** Agent to entry: its upstream's identity, resources and current figures. */
struct UpstreamStatus : UpstreamFigures
{
  UpstreamId upstream;
  /** Of the agent process. */
  Incarnation incarnation;
  std::string service;
  FailureDomainId domain;
  std::vector<std::string> labels;
  /** Total resources: thousandths of a core, MB, accelerators. */
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  std::int64_t accelerators = 0;

  /** Whether both are equal apart from their UpstreamFigures. */
  bool DescribesSame(const UpstreamStatus& aOther) const
  {
    return upstream == aOther.upstream && incarnation == aOther.incarnation &&
           service == aOther.service && domain == aOther.domain &&
           labels == aOther.labels && cpu == aOther.cpu &&
           memory == aOther.memory && accelerators == aOther.accelerators;
  }

  MSGPACK_DEFINE_ARRAY(MSGPACK_BASE_ARRAY(UpstreamFigures),
                       upstream,
                       incarnation,
                       service,
                       domain,
                       labels,
                       cpu,
                       memory,
                       accelerators)
};

}

#endif
