#ifndef Libraries_LibDispatch_ConfigurationDocument_h
#define Libraries_LibDispatch_ConfigurationDocument_h

#include "LibCore/Ids.h"
#include "LibCore/Result.h"
#include "LibDispatch/PatchProblem.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace vanillaworks::dispatch {

/** Limits of one team. */
struct TeamQuota
{
  /** Maximum tasks in flight per entry for the team; 0 means no limit. */
  std::uint32_t maxTasksInFlight = 0;
};

/**
 * One version of the operators' configuration. It is immutable once shared.
 * Failure domains and upstreams that it does not name are in service.
 */
struct ConfigurationDocument
{
  ConfigurationVersion version;
  std::set<FailureDomainId> closedDomains;
  std::set<UpstreamId> leavingUpstreams;
  std::map<TeamId, TeamQuota> teams;
  /** The JSON text that the fields were read from. */
  std::string text;

  /** Thread safe. Errors: see PatchProblem. */
  static Result<ConfigurationDocument, PatchProblem> Parse(
    ConfigurationVersion aVersion,
    std::string_view aText);

  /**
   * Returns the next version, with a JSON merge patch (RFC 7396) applied.
   * Thread safe. Errors: see PatchProblem.
   */
  Result<ConfigurationDocument, PatchProblem> Patched(
    std::string_view aPatch) const;

  bool IsClosed(const FailureDomainId& aDomain) const
  {
    return closedDomains.contains(aDomain);
  }
  bool IsLeaving(const UpstreamId& aUpstream) const
  {
    return leavingUpstreams.contains(aUpstream);
  }
};

}

#endif
