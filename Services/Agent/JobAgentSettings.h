#ifndef Services_Agent_JobAgentSettings_h
#define Services_Agent_JobAgentSettings_h

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibJob/RunSupervisor.h"
#include "LibService/JobProcessSettings.h"

#include <string>
#include <vector>

namespace vanillaworks::agent {

/** Validated settings of an agent on the users' platform. */
struct JobAgentSettings
{
  service::JobProcessSettings process;
  UpstreamId upstream;
  /**
   * Listen address for the runner's reports. Addresses are "host:port" with a
   * numeric host.
   */
  std::string controlAddress;
  /** Addresses of the entries that are known at start. */
  std::vector<std::string> entries;
  job::RunSupervisorLimits limits;

  static Result<JobAgentSettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
