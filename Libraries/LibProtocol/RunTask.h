#ifndef Libraries_LibProtocol_RunTask_h
#define Libraries_LibProtocol_RunTask_h

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** One run of one task of a job. */
struct RunTask
{
  std::uint32_t index = 0;
  /** Number of the attempt to run the task, from 1. */
  std::uint32_t run = 1;

  friend bool operator==(const RunTask&, const RunTask&) = default;
  friend auto operator<=>(const RunTask&, const RunTask&) = default;

  MSGPACK_DEFINE_ARRAY(index, run)
};

}

#endif
