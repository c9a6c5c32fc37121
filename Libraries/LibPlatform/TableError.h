#ifndef Libraries_LibPlatform_TableError_h
#define Libraries_LibPlatform_TableError_h

#include <cstdint>

namespace vanillaworks::platform {

enum class TableError : std::uint8_t
{
  /** The request was not sent: nothing was written. */
  NotSent,
  /** No valid response arrived: a write may or may not have taken effect. */
  ResponseLost,
  /** The service reported that it is unavailable; nothing was written. */
  Unavailable
};

}

#endif
