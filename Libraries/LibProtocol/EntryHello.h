#ifndef Libraries_LibProtocol_EntryHello_h
#define Libraries_LibProtocol_EntryHello_h

#include "LibCore/Ids.h"

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Entry to entry, first on a link. */
struct EntryHello
{
  EntryId entry;
  Incarnation incarnation;

  MSGPACK_DEFINE_ARRAY(entry, incarnation)
};

}

#endif
