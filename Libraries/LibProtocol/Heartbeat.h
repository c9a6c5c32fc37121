#ifndef Libraries_LibProtocol_Heartbeat_h
#define Libraries_LibProtocol_Heartbeat_h

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Has no content besides its header; sent on a link without recent traffic. */
struct Heartbeat
{
  /** Set on a request; the receiver replies immediately with a Heartbeat. */
  bool wantsAnswer = false;

  MSGPACK_DEFINE_ARRAY(wantsAnswer)
};

}

#endif
