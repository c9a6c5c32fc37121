#ifndef Libraries_LibService_JobProcessSettings_h
#define Libraries_LibService_JobProcessSettings_h

#include "LibCore/Log.h"
#include "LibCore/SettingsReader.h"
#include "LibJob/RunBounds.h"

#include <chrono>
#include <string>

namespace vanillaworks::service {

/** What entries and agents on the users' platform are both told. */
struct JobProcessSettings
{
  /** "host:port" with a numeric host, as are all addresses. */
  std::string storeAddress;
  /** Empty for none. */
  std::string metricsAddress;
  job::RunBounds bounds{};
  /** From SIGTERM until the process must be gone. */
  std::chrono::seconds grace{ 6 };
  LogFormat logFormat = LogFormat::JsonLines;

  /** Issues are kept by the reader. */
  static JobProcessSettings Read(SettingsReader& aReader);

  /**
   * Takes what may change while the process runs: the bound on a graceful stop
   * and the format of logs. Bounds on runs may not: while some processes had
   * the old ones, a task could run twice. Logs what came of it.
   */
  void Reload(const JobProcessSettings& aNew);
};

}

#endif
