#ifndef Services_Agent_AgentSettings_h
#define Services_Agent_AgentSettings_h

#include "LibCore/Ids.h"
#include "LibCore/Log.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibDispatch/AgentCore.h"
#include "LibProtocol/AgentHello.h"
#include "LibService/ClientLimits.h"

#include <string>
#include <vector>

namespace vanillaworks::agent {

/** Validated settings of a standalone agent. */
struct AgentSettings
{
  protocol::AgentHello identity;
  dispatch::AgentLimits limits;
  /** Maximum concurrent HTTP connections to the upstream. */
  std::uint32_t connections = 1;
  std::string upstreamUrl;
  /** Addresses, "host:port" with a numeric host, of entries known at start. */
  std::vector<std::string> entries;
  /** Whether to connect to entries that only the entry table lists, too. */
  bool discoverEntries = true;
  /**
   * Listen address of the HTTP endpoints for liveness, readiness and metrics;
   * empty turns them off.
   */
  std::string statusAddress;
  service::ClientLimits clientLimits;
  Milliseconds heartbeatInterval{ 1000 };
  Milliseconds idleHeartbeatInterval{ 5000 };
  /** Time without a frame until a link is closed: with work on it, and idle. */
  Milliseconds workSilenceTimeout{ 2500 };
  Milliseconds silenceTimeout{ 12'000 };
  /** Maximum duration of a graceful stop. */
  Milliseconds stopBound{ 30'000 };
  LogFormat logFormat = LogFormat::Text;

  static Result<AgentSettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
