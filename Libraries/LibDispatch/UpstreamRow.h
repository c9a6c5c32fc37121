#ifndef Libraries_LibDispatch_UpstreamRow_h
#define Libraries_LibDispatch_UpstreamRow_h

#include "LibCore/Ids.h"

#include <cstdint>

namespace vanillaworks::dispatch {

/** An upstream's agent as the table lists it. */
struct UpstreamRow
{
  UpstreamId upstream;
  Incarnation incarnation;
  /** The table's sequence number when this incarnation was entered. */
  std::uint64_t sequence = 0;
  /** Set when an earlier incarnation was entered before this one. */
  bool replaced = false;
  /** Set when the agent said that it stopped with nothing left. */
  bool gone = false;
};

}

#endif
