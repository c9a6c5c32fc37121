#include "LibService/ControlLog.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace vanillaworks::service {

namespace {
/** Logs aEvent for each domain that is in aDomains but not in aOthers. */
void
LogDifference(Event aEvent,
              const std::vector<FailureDomainId>& aDomains,
              const std::vector<FailureDomainId>& aOthers)
{
  for (const auto& domain : aDomains) {
    if (std::find(aOthers.begin(), aOthers.end(), domain) == aOthers.end()) {
      Log::Write(aEvent, { { "failure_domain", domain.Value() } });
    }
  }
}
}

void
LogAdoption(const protocol::ControlUpdate& aBefore,
            const protocol::ControlUpdate& aAfter,
            const std::string& aSource)
{
  Log::Write(Event::ConfigurationAdopted,
             { { "from", aSource },
               { "version", std::to_string(aAfter.version.Value()) },
               { "former_version", std::to_string(aBefore.version.Value()) },
               { "revision", std::to_string(aAfter.revision) } });
  LogDifference(
    Event::DomainClosed, aAfter.closedDomains, aBefore.closedDomains);
  LogDifference(
    Event::DomainOpened, aBefore.closedDomains, aAfter.closedDomains);
}

}
