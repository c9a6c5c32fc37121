#ifndef Services_Entry_JobEntrySettings_h
#define Services_Entry_JobEntrySettings_h

#include "LibCore/Ids.h"
#include "LibCore/Log.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibCore/Time.h"
#include "LibJob/JobDispatcher.h"

#include <string>
#include <vector>

namespace vanillaworks::entry {

/** Settings of an entry on the users' platform. */
struct JobEntrySettings
{
  EntryId entry;
  FailureDomainId domain;
  /** Addresses are "host:port" with a numeric host. */
  std::string frontAddress;
  std::string readinessAddress;
  std::string linkAddress;
  /** Where agents reach linkAddress, as the list of entries tells them. */
  std::string advertisedAddress;
  std::string storeAddress;
  /** Empty for none. */
  std::string metricsAddress;
  job::JobDispatcherLimits limits;
  /** From SIGTERM until the process must be gone. */
  std::chrono::seconds grace{ 6 };
  LogFormat logFormat = LogFormat::JsonLines;

  static Result<JobEntrySettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
