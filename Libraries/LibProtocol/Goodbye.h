#ifndef Libraries_LibProtocol_Goodbye_h
#define Libraries_LibProtocol_Goodbye_h

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** The sender is stopping gracefully; it must not be sent new work. */
struct Goodbye
{
  /** Set when no work is left and the sender is about to close the link. */
  bool drained = false;

  MSGPACK_DEFINE_ARRAY(drained)
};

}

#endif
