#ifndef Services_Agent_AgentSettings_h
#define Services_Agent_AgentSettings_h

#include "LibCore/Ids.h"
#include "LibCore/Log.h"
#include "LibCore/Result.h"
#include "LibCore/SettingsReader.h"
#include "LibDispatch/AgentCore.h"
#include "LibProtocol/AgentHello.h"

#include <string>
#include <vector>

namespace vanillaworks::agent {

/** What an agent's settings file says; valid as a whole. */
struct AgentSettings
{
  protocol::AgentHello identity;
  dispatch::AgentLimits limits;
  std::uint32_t connections = 1;
  std::string upstreamUrl;
  std::vector<std::string> entries;
  /** Whether entries that the table lists are dialled too. */
  bool learnEntries = true;
  /** Empty: no pages for liveness, readiness and metrics. */
  std::string pagesAddress;
  Milliseconds heartbeat{ 1000 };
  Milliseconds idleHeartbeat{ 5000 };
  /** When a link counts as silent, while it carries work and else. */
  Milliseconds workSilence{ 2500 };
  Milliseconds silence{ 12'000 };
  Milliseconds stopBound{ 30'000 };
  LogFormat logFormat = LogFormat::Text;

  static Result<AgentSettings, std::vector<SettingsIssue>> Read(
    SettingsReader aReader);
};

}

#endif
