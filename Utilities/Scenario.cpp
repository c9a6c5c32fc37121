#include "Utilities/Scenario.h"

namespace vanillaworks::measure {

const std::vector<Scenario>&
Scenarios()
{
  static const std::vector<Scenario> sScenarios{
    { "steady-50", 0.5, Fault::None, 1 },
    { "steady-80", 0.8, Fault::None, 1 },
    { "steady-95", 0.95, Fault::None, 1 },
    { "burst", 0.4, Fault::None, 3 },
    { "domain-out-and-back", 0.6, Fault::DomainClosedAndReopened, 1 },
    { "worker-fails", 0.5, Fault::WorkerFails, 1 },
    { "straggler", 0.5, Fault::Straggler, 1 },
    { "cancel-wave", 0.8, Fault::CancelWave, 1 },
    { "never-fits", 0.5, Fault::NeverFits, 1 },
    { "table-down", 0.5, Fault::TableDown, 1 },
    { "entry-killed", 0.5, Fault::EntryKilled, 1 },
  };
  return sScenarios;
}

const std::vector<Site>&
Sites()
{
  static const std::vector<Site> sSites{
    { "jordan", { "pier-end", "promenade", "harbour" }, 1.0, 1.0 },
    { "karoo", { "worcester", "robertson", "paarl", "ceres" }, 1.5, 3.0 },
  };
  return sSites;
}

}
