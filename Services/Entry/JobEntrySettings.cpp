#include "Services/Entry/JobEntrySettings.h"

namespace vanillaworks::entry {

namespace {
constexpr double kMinRemoteDataFactor = 1;
constexpr double kMaxRemoteDataFactor = 10;
}

Result<JobEntrySettings, std::vector<SettingsIssue>>
JobEntrySettings::Read(SettingsReader aReader)
{
  JobEntrySettings settings;
  settings.process = service::JobProcessSettings::Read(aReader);
  settings.entry = EntryId(aReader.RequireString("entry"));
  settings.failureDomain =
    FailureDomainId(aReader.RequireString("failure_domain"));
  settings.frontAddress = aReader.RequireString("front_address");
  settings.readinessAddress = aReader.RequireString("readiness_address");
  settings.linkAddress = aReader.RequireString("link_address");
  settings.advertisedAddress =
    aReader.GetString("advertised_address", settings.linkAddress);
  settings.dispatcherLimits.lostAgentTimeout =
    settings.process.bounds.lostAgentTimeout;
  settings.dispatcherLimits.remoteDataFactor =
    aReader.GetNumber("remote_data_factor",
                      settings.dispatcherLimits.remoteDataFactor,
                      kMinRemoteDataFactor,
                      kMaxRemoteDataFactor);
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
