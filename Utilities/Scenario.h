#ifndef Utilities_Scenario_h
#define Utilities_Scenario_h

#include "Utilities/Trace.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::measure {

/** The fault that a scenario injects while the load runs. */
enum class Fault
{
  None,
  DomainClosedAndReopened,
  WorkerFails,
  Straggler,
  CancelWave,
  NeverFits,
  TableDown,
  EntryKilled
};

struct Scenario
{
  std::string name;
  /** Offered work as a share of the capacity of all slots. */
  double load = 0.5;
  Fault fault = Fault::None;
  /** Arrival rate during the burst as a multiple of the usual rate. */
  double burstFactor = 1;
};

/** Failure domains and network delays of an existing deployment. */
struct Site
{
  std::string name;
  std::vector<std::string> domains;
  /** Network delays in one direction. */
  double hostDelayMs;
  double clientDelayMs;
};

const std::vector<Scenario>&
Scenarios();
const std::vector<Site>&
Sites();

}

#endif
