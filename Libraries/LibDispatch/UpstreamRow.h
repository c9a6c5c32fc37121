#ifndef Libraries_LibDispatch_UpstreamRow_h
#define Libraries_LibDispatch_UpstreamRow_h

#include "LibCore/Ids.h"

#include <cstdint>

namespace vanillaworks::dispatch {

/** The row of an upstream's agent in the table. */
struct UpstreamRow
{
  UpstreamId upstream;
  Incarnation incarnation;
  /** The table's sequence number when this incarnation was registered. */
  std::uint64_t sequence = 0;
  /** Set if an earlier incarnation was registered before this one. */
  bool replaced = false;
  /** Set if the agent reported that it stopped with no tasks left. */
  bool gone = false;
};

}

#endif
