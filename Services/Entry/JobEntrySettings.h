#ifndef Services_Entry_JobEntrySettings_h
#define Services_Entry_JobEntrySettings_h

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibJob/JobDispatcher.h"
#include "LibService/JobProcessSettings.h"

#include <string>
#include <vector>

namespace vanillaworks::entry {

/** Settings of an entry on the users' platform. */
struct JobEntrySettings
{
  service::JobProcessSettings process;
  EntryId entry;
  FailureDomainId failureDomain;
  /** Addresses are "host:port" with a numeric host. */
  std::string frontAddress;
  std::string readinessAddress;
  std::string linkAddress;
  /** Where agents reach linkAddress, as the list of entries tells them. */
  std::string advertisedAddress;
  job::JobDispatcherLimits dispatcherLimits;

  static Result<JobEntrySettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
