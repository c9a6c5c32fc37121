#ifndef Utilities_Trace_h
#define Utilities_Trace_h

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::measure {

/** One request or job of a trace; times in milliseconds from its start. */
struct Arrival
{
  double at = 0;
  /** A repeatable single request, or else a claimed job. */
  bool isSingle = true;
  /** Each task's time at speed 1. */
  std::vector<double> tasks;
  /** Cancelled by its caller after that many milliseconds; 0 for never. */
  double cancelAfter = 0;
  /** Asks for more than any worker has. */
  bool neverFits = false;
};

struct TraceOptions
{
  std::uint64_t seed = 1;
  double lengthMilliseconds = 30'000;
  /** Work that arrives in a second, in milliseconds at speed 1. */
  double workPerSecond = 0;
  /** From and to, in milliseconds: arrivals come at that many times the rate.
   */
  double burstFrom = 0;
  double burstTo = 0;
  double burstFactor = 1;
  std::size_t largestJob = 1500;
};

/** Single requests, small and large jobs; the same for the same options. */
std::vector<Arrival>
MakeTrace(const TraceOptions& aOptions);

}

#endif
