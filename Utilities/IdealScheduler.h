#ifndef Utilities_IdealScheduler_h
#define Utilities_IdealScheduler_h

#include "Utilities/Trace.h"

#include <cstddef>
#include <vector>

namespace vanillaworks::measure {

/** An upstream in the simulation of the ideal scheduler. */
struct IdealUpstream
{
  std::size_t slots = 1;
  double speed = 1;
  /**
   * Nothing starts from closedFromMs until closedUntilMs (exclusive). Equal
   * values mean that the upstream is never closed.
   */
  double closedFromMs = 0;
  double closedUntilMs = 0;
};

struct IdealResult
{
  /** When the caller has the result of each arrival's last task. */
  std::vector<double> endsMs;
  /** Time at speed 1 of the tasks that ended by aEndMs. */
  double workDoneMs = 0;
};

/**
 * Simulates a clairvoyant scheduler with a single queue, as a reference for
 * measurements. It knows the time of every task on every upstream and takes
 * no time to decide. Smaller submissions go first, and each task goes to the
 * permitted slot on which it ends first, even if it has to wait for that slot.
 * aTrace is sorted by arrival time. aOneWayDelayMs is the network delay from
 * the caller to the slot; it is added in both directions. Work that ends
 * after aEndMs does not count as done.
 */
IdealResult
SimulateIdealScheduler(const std::vector<Arrival>& aTrace,
                       const std::vector<IdealUpstream>& aUpstreams,
                       double aOneWayDelayMs,
                       double aEndMs);

}

#endif
