#ifndef Libraries_LibProtocol_Heartbeat_h
#define Libraries_LibProtocol_Heartbeat_h

#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Carries only its header; sent where no work carried one lately. */
struct Heartbeat
{
  /** Set on a request; the receiver answers at once with a Heartbeat. */
  bool wantsAnswer = false;

  MSGPACK_DEFINE_ARRAY(wantsAnswer)
};

}

#endif
