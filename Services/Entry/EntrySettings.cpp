#include "Services/Entry/EntrySettings.h"

#include "LibService/ClientSettings.h"

#include <algorithm>

namespace vanillaworks::entry {

namespace {
constexpr std::int64_t kMaxMilliseconds = 86'400'000;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxTasksPerJob = 100'000;
constexpr std::int64_t kMaxCount = 100'000'000;
constexpr double kMaxRatePerSecond = 1e6;
/** Requests of the maximum size that may be received at the same time. */
constexpr std::size_t kMaxBodiesInFlight = 8;
constexpr std::int64_t kBytesPerMegabyte = std::int64_t{ 1024 } * 1024;

void
ReadDurations(SettingsReader& aReader, EntrySettings& aSettings)
{
  auto read = [&aReader](const char* aKey, Milliseconds aDefault) {
    return aReader.GetMilliseconds(aKey, aDefault, { 10, kMaxMilliseconds });
  };
  aSettings.tableTimeout = read("table_timeout_ms", aSettings.tableTimeout);
  aSettings.pollInterval = read("poll_ms", aSettings.pollInterval);
  aSettings.renewalInterval = read("renewal_ms", aSettings.renewalInterval);
  aSettings.heartbeatInterval =
    read("heartbeat_ms", aSettings.heartbeatInterval);
  aSettings.idleHeartbeatInterval =
    read("idle_heartbeat_ms", aSettings.idleHeartbeatInterval);
  aSettings.activeSilenceTimeout =
    read("work_silence_ms", aSettings.activeSilenceTimeout);
  aSettings.silenceTimeout = read("silence_ms", aSettings.silenceTimeout);
  aSettings.stopTimeout = read("stop_bound_ms", aSettings.stopTimeout);
  aSettings.requestLimits.maxDeadline =
    read("max_deadline_ms", aSettings.requestLimits.maxDeadline);
  aSettings.claimLimits.claimRetention =
    read("remember_ms", aSettings.claimLimits.claimRetention);
  auto& dispatcher = aSettings.dispatcherLimits;
  dispatcher.agentGrace = read("agent_grace_ms", dispatcher.agentGrace);
  dispatcher.takeoverTimeout =
    read("takeover_patience_ms", dispatcher.takeoverTimeout);
  dispatcher.answerRetention =
    read("answer_retention_ms", dispatcher.answerRetention);
  if (aSettings.activeSilenceTimeout < aSettings.heartbeatInterval * 2) {
    aReader.ReportContradiction("work_silence_ms",
                                "must be at least twice heartbeat_ms");
  }
  if (aSettings.silenceTimeout < aSettings.idleHeartbeatInterval * 2) {
    aReader.ReportContradiction("silence_ms",
                                "must be at least twice idle_heartbeat_ms");
  }
}

void
ReadLimits(SettingsReader& aReader, EntrySettings& aSettings)
{
  aSettings.httpThreads = static_cast<int>(aReader.GetInteger(
    "http_threads", aSettings.httpThreads, { 1, kMaxThreads }));
  aSettings.maxBodyBytes = static_cast<std::size_t>(
    aReader.GetInteger("max_body_mb", 4, { 1, 64 }) * kBytesPerMegabyte);
  service::ClientLimits clientLimits;
  clientLimits.maxPendingBytes =
    std::max<std::size_t>(kMaxBodiesInFlight,
                          static_cast<std::size_t>(aSettings.httpThreads)) *
    aSettings.maxBodyBytes;
  aSettings.clientLimits = service::ReadClientLimits(aReader, clientLimits);
  auto threads = static_cast<std::size_t>(aSettings.httpThreads);
  if (aSettings.clientLimits.maxPendingBytes <
      threads * aSettings.maxBodyBytes) {
    aReader.ReportContradiction("max_client_pending_mb",
                                "must be at least http_threads * max_body_mb");
  }
  aSettings.readsPerSecond = aReader.GetNumber(
    "table_reads_per_second", aSettings.readsPerSecond, 1, kMaxRatePerSecond);
  aSettings.writesPerSecond = aReader.GetNumber(
    "table_writes_per_second", aSettings.writesPerSecond, 1, kMaxRatePerSecond);
  aSettings.requestLimits.maxTasks = static_cast<std::size_t>(
    aReader.GetInteger("max_tasks", 1500, { 1, kMaxTasksPerJob }));
  aSettings.dispatcherLimits.maxUnfinishedTasks = static_cast<std::size_t>(
    aReader.GetInteger("max_unfinished_tasks", 200'000, { 1, kMaxCount }));
  aSettings.dispatcherLimits.retryShare = aReader.GetNumber(
    "retry_share", aSettings.dispatcherLimits.retryShare, 0, 1);
}

void
ReadEnumsAndSeed(SettingsReader& aReader, EntrySettings& aSettings)
{
  auto policy = aReader.GetString("policy", "learned");
  if (policy != "learned" && policy != "random") {
    aReader.ReportContradiction("policy", "must be \"learned\" or \"random\"");
  }
  aSettings.policy = policy == "random" ? Policy::Random : Policy::Learned;
  auto format = aReader.GetString("log_format", "text");
  if (format != "text" && format != "json") {
    aReader.ReportContradiction("log_format", "must be \"text\" or \"json\"");
  }
  aSettings.logFormat =
    format == "json" ? LogFormat::JsonLines : LogFormat::Text;
  aSettings.seed =
    static_cast<std::uint64_t>(aReader.GetInteger("seed", 1, { 0, kMaxCount }));
}
}

Result<EntrySettings, std::vector<SettingsIssue>>
EntrySettings::Read(SettingsReader aReader)
{
  EntrySettings settings;
  settings.entry = EntryId(aReader.RequireString("entry"));
  settings.httpAddress = aReader.RequireString("http_address");
  settings.linkAddress = aReader.RequireString("link_address");
  settings.advertisedAddress =
    aReader.GetString("advertised_address", settings.linkAddress);
  settings.tableUrl = aReader.RequireString("table_url");
  settings.objectsUrl = aReader.GetString("objects_url", settings.tableUrl);
  ReadDurations(aReader, settings);
  ReadLimits(aReader, settings);
  ReadEnumsAndSeed(aReader, settings);
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
