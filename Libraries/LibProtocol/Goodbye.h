#ifndef Libraries_LibProtocol_Goodbye_h
#define Libraries_LibProtocol_Goodbye_h

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** The sender stops gracefully: send it no new work. */
struct Goodbye
{
  /** Set when the sender has nothing left and closes the link next. */
  bool drained = false;

  MSGPACK_DEFINE_ARRAY(drained)
};

}

#endif
