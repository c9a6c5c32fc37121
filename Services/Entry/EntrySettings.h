#ifndef Services_Entry_EntrySettings_h
#define Services_Entry_EntrySettings_h

#include "LibCore/Ids.h"
#include "LibCore/Log.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibDispatch/Dispatcher.h"
#include "LibDispatch/SubmissionParser.h"
#include "LibPlatform/OperationBatcher.h"
#include "LibService/ClientLimits.h"

#include <string>
#include <vector>

namespace vanillaworks::entry {

/** The policy by which tasks are routed to upstreams. */
enum class Policy
{
  Learned,
  Random
};

/** The contents of an entry's settings file, validated as a whole. */
struct EntrySettings
{
  EntryId entry;
  std::string httpAddress;
  int httpThreads = 2;
  std::size_t maxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  service::ClientLimits clientLimits;
  /** The address on which this process accepts links. */
  std::string linkAddress;
  /** The address that other processes connect to, if it differs. */
  std::string advertisedAddress;
  std::string tableUrl;
  std::string objectsUrl;
  Milliseconds tableTimeout{ 1000 };
  double readsPerSecond = 300;
  double writesPerSecond = 100;
  Milliseconds pollInterval{ 1000 };
  Milliseconds renewalInterval{ 2000 };
  Milliseconds heartbeatInterval{ 500 };
  Milliseconds idleHeartbeatInterval{ 5000 };
  /**
   * Time without a frame after which a link on which frames are awaited is
   * closed.
   */
  Milliseconds activeSilenceTimeout{ 2500 };
  /** Time without a frame after which any link is closed. */
  Milliseconds silenceTimeout{ 12'000 };
  /** The longest time that a graceful stop may take. */
  Milliseconds stopTimeout{ 30'000 };
  Policy policy = Policy::Learned;
  std::uint64_t seed = 1;
  dispatch::RequestLimits requestLimits;
  dispatch::DispatcherLimits dispatcherLimits;
  platform::OperationBatcherLimits claimLimits;
  LogFormat logFormat = LogFormat::Text;

  /** Returns every issue found if the settings are invalid. */
  static Result<EntrySettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
