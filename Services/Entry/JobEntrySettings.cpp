#include "Services/Entry/JobEntrySettings.h"

#include "LibJob/RunBounds.h"

namespace vanillaworks::entry {

Result<JobEntrySettings, std::vector<SettingsIssue>>
JobEntrySettings::Read(SettingsReader aReader)
{
  constexpr std::int64_t kMaxRetryMs = 60'000;
  constexpr std::int64_t kMaxGraceSeconds = 600;
  JobEntrySettings settings;
  aReader.RequireString("deployment");
  settings.entry = EntryId(aReader.RequireString("entry"));
  settings.domain = FailureDomainId(aReader.RequireString("failure_domain"));
  settings.frontAddress = aReader.RequireString("front_address");
  settings.readinessAddress = aReader.RequireString("readiness_address");
  settings.linkAddress = aReader.RequireString("link_address");
  settings.advertisedAddress =
    aReader.GetString("advertised_address", settings.linkAddress);
  settings.storeAddress = aReader.RequireString("store_address");
  settings.metricsAddress = aReader.GetString("metrics_address", "");
  auto retry = aReader.GetMilliseconds(
    "caller_retry_ms", Milliseconds{ 1300 }, { 500, kMaxRetryMs });
  auto lease = aReader.GetMilliseconds(
    "lease_ms", Milliseconds{ 1000 }, { 200, kMaxRetryMs });
  settings.limits.lostAgent = job::RunBounds::Of(retry, lease).lostAgent;
  settings.grace = std::chrono::seconds(aReader.GetInteger(
    "grace_s", settings.grace.count(), { 1, kMaxGraceSeconds }));
  auto format = aReader.GetString("log_format", "json");
  if (format != "json" && format != "text") {
    aReader.Contradiction("log_format", "must be \"json\" or \"text\"");
  }
  settings.logFormat =
    format == "text" ? LogFormat::Text : LogFormat::JsonLines;
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
