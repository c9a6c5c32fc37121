#ifndef Libraries_LibPlatform_TableError_h
#define Libraries_LibPlatform_TableError_h

#include <cstdint>

namespace vanillaworks::platform {

enum class TableError : std::uint8_t
{
  /** Certain: nothing was written. */
  NotSent,
  /** No usable answer: a write may or may not have taken effect. */
  AnswerLost,
  /** The service says that it is down; nothing was written. */
  Unavailable
};

}

#endif
