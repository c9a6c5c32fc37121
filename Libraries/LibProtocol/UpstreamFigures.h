#ifndef Libraries_LibProtocol_UpstreamFigures_h
#define Libraries_LibProtocol_UpstreamFigures_h

#include <cstdint>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/**
 * Agent to entry: the frequently changing figures of the upstream that the last
 * UpstreamStatus on the same link described.
 */
struct UpstreamFigures
{
  /** Free resources: thousandths of a core, MB, accelerators. */
  std::int64_t cpuFree = 0;
  std::int64_t memoryFree = 0;
  std::int64_t acceleratorsFree = 0;
  /** Estimated queueing delay of a task of usual size. */
  std::int64_t startInMs = 0;
  /** Ratio of actual to estimated run time, in thousandths. */
  std::int64_t slownessPermille = 1000;
  /**
   * Accepts orders: its runner is known and not shutting down, and its failure
   * domain is open.
   */
  bool accepting = false;
  /** Its runs fail or stall; it should get single probe tasks only. */
  bool suspect = false;
  /** RunOrder::sequence of the last order that these figures include. */
  std::uint64_t ordersSeen = 0;

  MSGPACK_DEFINE_ARRAY(cpuFree,
                       memoryFree,
                       acceleratorsFree,
                       startInMs,
                       slownessPermille,
                       accepting,
                       suspect,
                       ordersSeen)
};

}

#endif
