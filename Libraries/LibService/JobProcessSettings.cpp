#include "LibService/JobProcessSettings.h"

#include "LibService/ClientSettings.h"

namespace vanillaworks::service {

namespace {
constexpr std::int64_t kMaxIntervalMs = 60'000;
constexpr std::int64_t kMaxGraceSeconds = 600;
}

JobProcessSettings
JobProcessSettings::Read(SettingsReader& aReader)
{
  JobProcessSettings settings;
  aReader.RequireString("deployment");
  settings.storeAddress = aReader.RequireString("store_address");
  settings.metricsAddress = aReader.GetString("metrics_address", "");
  auto retry = aReader.GetMilliseconds(
    "caller_retry_ms", Milliseconds{ 1300 }, { 500, kMaxIntervalMs });
  auto lease = aReader.GetMilliseconds(
    "lease_ms", Milliseconds{ 1000 }, { 200, kMaxIntervalMs });
  settings.bounds = job::RunBounds::Derive(retry, lease);
  settings.grace = std::chrono::seconds(aReader.GetInteger(
    "grace_s", settings.grace.count(), { 1, kMaxGraceSeconds }));
  settings.clientLimits = ReadClientLimits(aReader, {});
  auto format = aReader.GetString("log_format", "json");
  if (format != "json" && format != "text") {
    aReader.ReportContradiction("log_format", "must be \"json\" or \"text\"");
  }
  settings.logFormat =
    format == "text" ? LogFormat::Text : LogFormat::JsonLines;
  return settings;
}

void
JobProcessSettings::Reload(const JobProcessSettings& aNew)
{
  grace = aNew.grace;
  logFormat = aNew.logFormat;
  Log::SetFormat(logFormat);
  bool isSame = storeAddress == aNew.storeAddress &&
                metricsAddress == aNew.metricsAddress && bounds == aNew.bounds;
  Log::Write(Event::SettingsReloaded,
             { { "outcome", isSame ? "applied" : "needs_restart" } });
}

}
