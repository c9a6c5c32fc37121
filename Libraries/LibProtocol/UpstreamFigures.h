#ifndef Libraries_LibProtocol_UpstreamFigures_h
#define Libraries_LibProtocol_UpstreamFigures_h

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/**
 * Agent to entry: what changes with each run, of the upstream that the latest
 * UpstreamStatus on the same link has described.
 */
struct UpstreamFigures
{
  /** Thousandths of a core, MB, accelerators. */
  std::int64_t cpuFree = 0;
  std::int64_t memoryFree = 0;
  std::int64_t acceleratorsFree = 0;
  /** Until a task of usual size could start, behind what waits. */
  std::int64_t startInMs = 0;
  /** Real time of runs by estimated time, in thousandths. */
  std::int64_t slowness = 1000;
  /** Takes orders: its runner is known, stays, and its domain is open. */
  bool accepting = false;
  /** Fails or stalls what it starts; to be given single trials. */
  bool suspect = false;
  /** The sequence of the latest order that these figures include. */
  std::uint64_t ordersSeen = 0;

  MSGPACK_DEFINE_ARRAY(cpuFree,
                       memoryFree,
                       acceleratorsFree,
                       startInMs,
                       slowness,
                       accepting,
                       suspect,
                       ordersSeen)
};

}

#endif
