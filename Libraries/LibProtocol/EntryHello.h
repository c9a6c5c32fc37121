#ifndef Libraries_LibProtocol_EntryHello_h
#define Libraries_LibProtocol_EntryHello_h

#include "LibCore/Ids.h"

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Entry to entry, first frame on a link: identifies the sender. */
struct EntryHello
{
  EntryId entry;
  Incarnation incarnation;

  MSGPACK_DEFINE_ARRAY(entry, incarnation)
};

}

#endif
