#ifndef Libraries_LibProtocol_ControlRequest_h
#define Libraries_LibProtocol_ControlRequest_h

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Requests a ControlUpdate after a peer's header showed a newer revision. */
struct ControlRequest
{
  /** The newest revision that the requester has. */
  std::uint64_t revision = 0;

  MSGPACK_DEFINE_ARRAY(revision)
};

}

#endif
