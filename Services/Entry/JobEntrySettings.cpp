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
  settings.dispatcherLimits.guaranteedShare = aReader.GetNumber(
    "guaranteed_share", settings.dispatcherLimits.guaranteedShare, 0, 1);
  auto admission = aReader.GetString("admission", "by_goal");
  if (admission != "by_goal" && admission != "by_priority") {
    aReader.ReportContradiction("admission",
                                "must be \"by_goal\" or \"by_priority\"");
  }
  settings.dispatcherLimits.admission = admission == "by_priority"
                                          ? job::AdmissionKind::ByPriority
                                          : job::AdmissionKind::ByGoal;
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
