#ifndef Libraries_LibProtocol_RunResume_h
#define Libraries_LibProtocol_RunResume_h

#include "LibCore/Ids.h"
#include "LibProtocol/RunCancel.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/**
 * Entry to agent, first frame on a new link: identifies the entry and lists the
 * runs whose outcome it still awaits. The agent stops all others of that entry.
 */
struct RunResume
{
  EntryId entry;
  Incarnation incarnation;
  std::vector<RunCancel> awaited;

  MSGPACK_DEFINE_ARRAY(entry, incarnation, awaited)
};

}

#endif
