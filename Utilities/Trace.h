#ifndef Utilities_Trace_h
#define Utilities_Trace_h

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::measure {

/** One request or job of a trace. */
struct Arrival
{
  /** Milliseconds from the start of the trace. */
  double atMs = 0;
  /** True for an idempotent single request, false for a claimed job. */
  bool isSingleRequest = true;
  /** Time of each task on an upstream of speed 1. */
  std::vector<double> taskTimesMs;
  /** Delay until the caller cancels the job; 0 if the caller never does. */
  double cancelAfterMs = 0;
  /** Whether the tasks demand more accelerators than any worker has. */
  bool neverFits = false;
};

struct TraceOptions
{
  std::uint64_t seed = 1;
  double lengthMs = 30'000;
  /** Milliseconds of work at speed 1 that arrive in one second. */
  double workMsPerSecond = 0;
  /**
   * From burstFromMs until burstUntilMs, arrivals come at burstFactor times the
   * usual rate.
   */
  double burstFromMs = 0;
  double burstUntilMs = 0;
  double burstFactor = 1;
  std::size_t maxTasksPerJob = 1500;
};

/**
 * Generates single requests and jobs of 2 to maxTasksPerJob tasks, sorted by
 * time. The trace is the same for the same options.
 */
std::vector<Arrival>
GenerateTrace(const TraceOptions& aOptions);

}

#endif
