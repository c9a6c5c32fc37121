#ifndef Utilities_Scenario_h
#define Utilities_Scenario_h

#include "Utilities/Trace.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::measure {

/** What goes wrong in a scenario beside its load. */
enum class Trouble
{
  None,
  DomainOutAndBack,
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
  /** Share of the capacity of all slots. */
  double load = 0.5;
  Trouble trouble = Trouble::None;
  double burstFactor = 1;
};

/** A deployment of today, as its users describe it. */
struct Site
{
  std::string name;
  std::vector<std::string> domains;
  /** One way, in milliseconds. */
  double betweenHosts;
  double toClients;
};

const std::vector<Scenario>&
Scenarios();
const std::vector<Site>&
Sites();

}

#endif
