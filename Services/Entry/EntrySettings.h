#ifndef Services_Entry_EntrySettings_h
#define Services_Entry_EntrySettings_h

#include "LibCore/Ids.h"
#include "LibCore/Log.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibDispatch/Dispatcher.h"
#include "LibDispatch/SubmissionParser.h"
#include "LibPlatform/OperationBatcher.h"

#include <string>
#include <vector>

namespace vanillaworks::entry {

enum class Policy
{
  Learned,
  Random
};

/** What an entry's settings file says; valid as a whole. */
struct EntrySettings
{
  EntryId entry;
  std::string httpAddress;
  int httpThreads = 2;
  std::size_t maxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  /** Where this process takes links. */
  std::string linkAddress;
  /** What other processes dial, where it differs. */
  std::string advertisedAddress;
  std::string tableUrl;
  std::string objectsUrl;
  Milliseconds tableTimeout{ 1000 };
  double readsPerSecond = 300;
  double writesPerSecond = 100;
  Milliseconds poll{ 1000 };
  Milliseconds renewal{ 2000 };
  Milliseconds heartbeat{ 500 };
  Milliseconds idleHeartbeat{ 5000 };
  /** When a link counts as silent, while news on it is awaited and else. */
  Milliseconds workSilence{ 2500 };
  Milliseconds silence{ 12'000 };
  Milliseconds stopBound{ 30'000 };
  Policy policy = Policy::Learned;
  std::uint64_t seed = 1;
  dispatch::RequestLimits request;
  dispatch::DispatcherLimits dispatcher;
  platform::OperationBatcherLimits keeper;
  LogFormat logFormat = LogFormat::Text;

  static Result<EntrySettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
