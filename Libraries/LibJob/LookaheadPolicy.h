#ifndef Libraries_LibJob_LookaheadPolicy_h
#define Libraries_LibJob_LookaheadPolicy_h

#include "LibJob/StartPolicy.h"

namespace vanillaworks::job {

/**
 * Starts queued runs by priority and arrival, and reserves resources for the
 * first one that doesn't fit.
 *
 * Used on a runner in full use, whose tasks differ in size: every gap that a
 * task leaves would be taken by smaller ones, and a large task would wait for
 * as long as these arrive. The first run that doesn't fit gets the earliest
 * time at which enough of the active runs are expected to have ended. Later
 * runs start before it only if they end by then or leave it enough resources
 * (EASY backfilling: Lifka, "The ANL/IBM SP scheduling system", 1995). Thread
 * safe.
 */
class LookaheadPolicy final : public StartPolicy
{
public:
  std::vector<std::size_t> RunsToStart(const RunnerLoad& aLoad) const override;
};

}

#endif
