#include "Services/Agent/JobAgentSettings.h"

#include "LibJob/LookaheadPolicy.h"

namespace vanillaworks::agent {

namespace {
std::vector<std::string>
EntryAddresses(const std::vector<std::string>& aHosts, std::int64_t aPort)
{
  std::vector<std::string> entries;
  for (const auto& host : aHosts) {
    // A host may be listed with the port of another service, which is dropped.
    auto name = host.substr(0, host.find(':'));
    entries.push_back(name + ":" + std::to_string(aPort));
  }
  return entries;
}

std::shared_ptr<const job::StartPolicy>
ReadStartPolicy(SettingsReader& aReader)
{
  auto name = aReader.GetString("start_policy", "first_fit");
  if (name == "lookahead") {
    return std::make_shared<job::LookaheadPolicy>();
  }
  if (name != "first_fit") {
    aReader.ReportContradiction("start_policy",
                                "must be \"first_fit\" or \"lookahead\"");
  }
  return std::make_shared<job::FirstFitPolicy>();
}
}

Result<JobAgentSettings, std::vector<SettingsIssue>>
JobAgentSettings::Read(SettingsReader aReader)
{
  constexpr std::int64_t kMaxPort = 65'535;
  JobAgentSettings settings;
  settings.process = service::JobProcessSettings::Read(aReader);
  settings.upstream = UpstreamId(aReader.RequireString("upstream"));
  settings.controlAddress = aReader.RequireString("control_address");
  auto port = aReader.RequireInteger("link_port", { 1, kMaxPort });
  settings.entries = EntryAddresses(aReader.GetStrings("entry_hosts"), port);
  settings.limits.entryTimeout = settings.process.bounds.entryTimeout;
  settings.limits.lease = settings.process.bounds.lease;
  settings.limits.grantedLease = settings.process.bounds.grantedLease;
  settings.limits.contactLease = settings.process.bounds.contactLease;
  settings.limits.cancelLease = settings.process.bounds.cancelLease;
  settings.limits.startPolicy = ReadStartPolicy(aReader);
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
