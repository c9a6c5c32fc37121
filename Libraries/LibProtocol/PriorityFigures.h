#ifndef Libraries_LibProtocol_PriorityFigures_h
#define Libraries_LibProtocol_PriorityFigures_h

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/** Agent to entry: when a task of one priority would start. */
struct PriorityFigures
{
  /** 0 is the highest priority. */
  std::uint32_t priority = 0;
  /** Estimated queueing delay of a task of usual size. */
  std::int64_t startInMs = 0;

  friend bool operator==(const PriorityFigures&,
                         const PriorityFigures&) = default;

  MSGPACK_DEFINE_ARRAY(priority, startInMs)
};

}

#endif
