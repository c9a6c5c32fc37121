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

/** The settings of an entry on the users' platform. */
struct JobEntrySettings
{
  service::JobProcessSettings process;
  EntryId entry;
  FailureDomainId failureDomain;
  /** All addresses are "host:port" with a numeric host. */
  std::string frontAddress;
  std::string readinessAddress;
  std::string linkAddress;
  /** The address in the list of entries, which agents connect to. */
  std::string advertisedAddress;
  job::JobDispatcherLimits dispatcherLimits;

  /** Returns every issue found if the settings are invalid. */
  static Result<JobEntrySettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
