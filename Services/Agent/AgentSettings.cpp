#include "Services/Agent/AgentSettings.h"

#include "LibService/ClientSettings.h"

namespace vanillaworks::agent {

namespace {
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxCount = 1'000'000'000;
constexpr std::int64_t kMaxMilliseconds = 3'600'000;
}

Result<AgentSettings, std::vector<SettingsIssue>>
AgentSettings::Read(SettingsReader aReader)
{
  AgentSettings settings;
  auto& identity = settings.identity;
  identity.upstream = UpstreamId(aReader.RequireString("upstream"));
  identity.domain = FailureDomainId(aReader.RequireString("failure_domain"));
  for (auto& kind : aReader.GetStrings("kinds")) {
    identity.kinds.emplace_back(std::move(kind));
  }
  if (identity.kinds.empty()) {
    aReader.ReportContradiction("kinds", "must list at least one kind of task");
  }
  identity.slots = static_cast<std::uint32_t>(
    aReader.RequireInteger("slots", { 1, kMaxSlots }));
  settings.connections = static_cast<std::uint32_t>(
    aReader.GetInteger("connections", identity.slots, { 1, kMaxSlots }));
  if (settings.connections < identity.slots) {
    aReader.ReportContradiction(
      "connections", "must be at least slots, or some slots stay idle");
  }
  auto& capacity = identity.capacity;
  capacity.cores = static_cast<std::uint32_t>(
    aReader.GetInteger("cores", 1, { 1, kMaxCount }));
  capacity.memoryMegabytes = static_cast<std::uint32_t>(
    aReader.GetInteger("memory_mb", 1024, { 1, kMaxCount }));
  capacity.accelerators = static_cast<std::uint32_t>(
    aReader.GetInteger("accelerators", 0, { 0, kMaxCount }));
  settings.upstreamUrl = aReader.RequireString("upstream_url");
  settings.entries = aReader.GetStrings("entries");
  if (settings.entries.empty()) {
    aReader.ReportContradiction("entries", "must list at least one entry");
  }
  settings.discoverEntries = aReader.GetFlag("learn_entries", true);
  settings.statusAddress = aReader.GetString("pages_address", "");
  settings.clientLimits = service::ReadClientLimits(aReader, {});
  settings.heartbeatInterval = aReader.GetMilliseconds(
    "heartbeat_ms", settings.heartbeatInterval, { 50, kMaxMilliseconds });
  settings.idleHeartbeatInterval =
    aReader.GetMilliseconds("idle_heartbeat_ms",
                            settings.idleHeartbeatInterval,
                            { 50, kMaxMilliseconds });
  settings.workSilenceTimeout = aReader.GetMilliseconds(
    "work_silence_ms", settings.workSilenceTimeout, { 100, kMaxMilliseconds });
  settings.silenceTimeout = aReader.GetMilliseconds(
    "silence_ms", settings.silenceTimeout, { 100, kMaxMilliseconds });
  if (settings.workSilenceTimeout < settings.heartbeatInterval * 2) {
    aReader.ReportContradiction("work_silence_ms",
                                "must be at least twice heartbeat_ms");
  }
  if (settings.silenceTimeout < settings.idleHeartbeatInterval * 2) {
    aReader.ReportContradiction("silence_ms",
                                "must be at least twice idle_heartbeat_ms");
  }
  auto& limits = settings.limits;
  limits.gate.slots = identity.slots;
  limits.gate.capacity = capacity;
  limits.gate.maxConfigurationAge =
    aReader.GetMilliseconds("max_configuration_age_ms",
                            limits.gate.maxConfigurationAge,
                            { 200, kMaxMilliseconds });
  if (limits.gate.maxConfigurationAge < settings.heartbeatInterval * 2) {
    aReader.ReportContradiction("max_configuration_age_ms",
                                "must be at least twice heartbeat_ms");
  }
  limits.queue = static_cast<std::uint32_t>(
    aReader.GetInteger("queue", identity.slots, { 0, kMaxCount }));
  limits.heldResultBytes = static_cast<std::size_t>(aReader.GetInteger(
                             "held_result_mb", 32, { 1, 4096 })) *
                           1024 * 1024;
  settings.stopBound = aReader.GetMilliseconds(
    "stop_bound_ms", settings.stopBound, { 0, kMaxMilliseconds });
  auto format = aReader.GetString("log_format", "text");
  if (format != "text" && format != "json") {
    aReader.ReportContradiction("log_format", "must be \"text\" or \"json\"");
  }
  settings.logFormat =
    format == "json" ? LogFormat::JsonLines : LogFormat::Text;
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
