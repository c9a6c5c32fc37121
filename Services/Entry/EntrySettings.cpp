#include "Services/Entry/EntrySettings.h"

namespace vanillaworks::entry {

namespace {
constexpr std::int64_t kMaxMilliseconds = 86'400'000;
constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxTasksInJob = 100'000;
constexpr std::int64_t kMaxUnfinished = 100'000'000;
constexpr double kMaxRate = 1e6;
constexpr std::int64_t kBytesInMegabyte = std::int64_t{ 1024 } * 1024;

void
ReadTimes(SettingsReader& aReader, EntrySettings& aSettings)
{
  auto read = [&aReader](const char* aKey, Milliseconds aDefault) {
    return aReader.GetMilliseconds(aKey, aDefault, { 10, kMaxMilliseconds });
  };
  aSettings.tableTimeout = read("table_timeout_ms", aSettings.tableTimeout);
  aSettings.poll = read("poll_ms", aSettings.poll);
  aSettings.renewal = read("renewal_ms", aSettings.renewal);
  aSettings.heartbeat = read("heartbeat_ms", aSettings.heartbeat);
  aSettings.idleHeartbeat = read("idle_heartbeat_ms", aSettings.idleHeartbeat);
  aSettings.workSilence = read("work_silence_ms", aSettings.workSilence);
  aSettings.silence = read("silence_ms", aSettings.silence);
  aSettings.stopBound = read("stop_bound_ms", aSettings.stopBound);
  aSettings.request.maxDeadline =
    read("max_deadline_ms", aSettings.request.maxDeadline);
  aSettings.keeper.claimRetention =
    read("remember_ms", aSettings.keeper.claimRetention);
  auto& dispatcher = aSettings.dispatcher;
  dispatcher.agentGrace = read("agent_grace_ms", dispatcher.agentGrace);
  dispatcher.takeoverPatience =
    read("takeover_patience_ms", dispatcher.takeoverPatience);
  dispatcher.answerRetention =
    read("answer_retention_ms", dispatcher.answerRetention);
  if (aSettings.workSilence < aSettings.heartbeat * 2) {
    aReader.Contradiction("work_silence_ms",
                          "must be at least twice heartbeat_ms");
  }
  if (aSettings.silence < aSettings.idleHeartbeat * 2) {
    aReader.Contradiction("silence_ms",
                          "must be at least twice idle_heartbeat_ms");
  }
}

void
ReadLimits(SettingsReader& aReader, EntrySettings& aSettings)
{
  aSettings.httpThreads = static_cast<int>(aReader.GetInteger(
    "http_threads", aSettings.httpThreads, { 1, kMaxThreads }));
  aSettings.maxBodyBytes = static_cast<std::size_t>(
    aReader.GetInteger("max_body_mb", 4, { 1, 64 }) * kBytesInMegabyte);
  aSettings.readsPerSecond = aReader.GetNumber(
    "table_reads_per_second", aSettings.readsPerSecond, 1, kMaxRate);
  aSettings.writesPerSecond = aReader.GetNumber(
    "table_writes_per_second", aSettings.writesPerSecond, 1, kMaxRate);
  aSettings.request.maxTasks = static_cast<std::size_t>(
    aReader.GetInteger("max_tasks", 1500, { 1, kMaxTasksInJob }));
  aSettings.dispatcher.maxUnfinishedTasks = static_cast<std::size_t>(
    aReader.GetInteger("max_unfinished_tasks", 200'000, { 1, kMaxUnfinished }));
  aSettings.dispatcher.retryShare =
    aReader.GetNumber("retry_share", aSettings.dispatcher.retryShare, 0, 1);
}

void
ReadChoices(SettingsReader& aReader, EntrySettings& aSettings)
{
  auto policy = aReader.GetString("policy", "learned");
  if (policy != "learned" && policy != "random") {
    aReader.Contradiction("policy", "must be \"learned\" or \"random\"");
  }
  aSettings.policy = policy == "random" ? Policy::Random : Policy::Learned;
  auto format = aReader.GetString("log_format", "text");
  if (format != "text" && format != "json") {
    aReader.Contradiction("log_format", "must be \"text\" or \"json\"");
  }
  aSettings.logFormat =
    format == "json" ? LogFormat::JsonLines : LogFormat::Text;
  aSettings.seed = static_cast<std::uint64_t>(
    aReader.GetInteger("seed", 1, { 0, kMaxUnfinished }));
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
  ReadTimes(aReader, settings);
  ReadLimits(aReader, settings);
  ReadChoices(aReader, settings);
  auto issues = aReader.Finish();
  if (!issues.empty()) {
    return Failure{ std::move(issues) };
  }
  return settings;
}

}
