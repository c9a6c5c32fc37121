#ifndef Libraries_LibJob_FirstFitPolicy_h
#define Libraries_LibJob_FirstFitPolicy_h

#include "LibJob/StartPolicy.h"

namespace vanillaworks::job {

/**
 * Starts every queued run that fits, by priority and arrival. A run that needs
 * more than is free is passed by for as long as smaller ones arrive. Thread
 * safe.
 */
class FirstFitPolicy final : public StartPolicy
{
public:
  std::vector<std::size_t> RunsToStart(const RunnerLoad& aLoad) const override;
};

}

#endif
