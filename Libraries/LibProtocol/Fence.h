#ifndef Libraries_LibProtocol_Fence_h
#define Libraries_LibProtocol_Fence_h

#include "LibCore/Ids.h"

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/**
 * Entry to agent: start nothing more for this and older incarnations of the
 * named entry, and report what was started for it.
 */
struct Fence
{
  EntryId entry;
  Incarnation incarnation;

  MSGPACK_DEFINE_ARRAY(entry, incarnation)
};

}

#endif
