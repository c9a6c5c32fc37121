#ifndef Utilities_Ideal_h
#define Utilities_Ideal_h

#include "Utilities/Trace.h"

#include <cstddef>
#include <vector>

namespace vanillaworks::measure {

/** An upstream as the all-knowing queue sees it. */
struct IdealUpstream
{
  std::size_t slots = 1;
  double speed = 1;
  /** Closed for starts from and to, in milliseconds; equal for never. */
  double closedFrom = 0;
  double closedTo = 0;
};

struct IdealOutcome
{
  /** When each arrival's last task ended, in milliseconds. */
  std::vector<double> ends;
  /** Work at speed 1 that ended before the given time. */
  double workDone = 0;
};

/**
 * What a single queue does that knows every task's time on every upstream and
 * spends nothing on deciding: smaller submissions go first, and each task
 * goes to the permitted slot on which it ends first, waiting for it if need
 * be. aDelay is the way from the caller to the slot, one way; it is added
 * there and back.
 */
IdealOutcome
RunIdeal(const std::vector<Arrival>& aTrace,
         const std::vector<IdealUpstream>& aUpstreams,
         double aDelay,
         double aUntil);

}

#endif
