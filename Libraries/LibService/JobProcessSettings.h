#ifndef Libraries_LibService_JobProcessSettings_h
#define Libraries_LibService_JobProcessSettings_h

#include "LibCore/Log.h"
#include "LibCore/SettingsReader.h"
#include "LibJob/RunBounds.h"
#include "LibService/ClientLimits.h"

#include <chrono>
#include <string>

namespace vanillaworks::service {

/** Settings shared by entries and agents on the users' platform. */
struct JobProcessSettings
{
  /** "host:port" with a numeric host; all addresses have this form. */
  std::string storeAddress;
  /** Empty if metrics are not served. */
  std::string metricsAddress;
  job::RunBounds bounds{};
  /** Time from SIGTERM until the process must have exited. */
  std::chrono::seconds grace{ 6 };
  LogFormat logFormat = LogFormat::JsonLines;
  ClientLimits clientLimits;

  /** Issues are collected by aReader. */
  static JobProcessSettings Read(SettingsReader& aReader);

  /**
   * Applies the settings that may change at run time: the time limit of a
   * graceful stop and the log format. The bounds on runs may not change: while
   * some processes still used the old ones, a task could run twice. Logs the
   * outcome.
   */
  void Reload(const JobProcessSettings& aNew);
};

}

#endif
