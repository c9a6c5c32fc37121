#include "Tests/System/PlatformDeployment.h"

#include "LibCore/Time.h"
#include "LibPlatform/HttpClient.h"
#include "Tests/System/LogRetention.h"

#include <algorithm>
#include <curl/curl.h>
#include <fmt/format.h>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace vanillaworks::system {

namespace {
constexpr int kFrontPort = 8161;
constexpr int kReadinessPort = 8167;
constexpr int kLinkPort = 7720;
constexpr int kControlPort = 8166;
constexpr int kMetricsPort = 7721;
constexpr int kRunnerPort = 8165;
constexpr int kStorePort = 8169;
constexpr int kRelayControlPort = 7722;
constexpr int kRunnerControlPort = 7723;
constexpr std::size_t kStoreHostNumber = 10;
constexpr std::size_t kStoreRelayHostNumber = 9;
constexpr std::size_t kFirstEntryRelayHostNumber = 41;
constexpr Milliseconds kRecoveryBound{ 12'000 };
constexpr int kMaxAttempts = 6;
constexpr long kOk = 200;
constexpr long kBadGateway = 502;
constexpr long kGatewayTimeout = 504;

CallerAnswer
ToCallerAnswer(
  const Result<platform::HttpResponse, platform::TableError>& aResponse)
{
  if (aResponse.IsError()) {
    CallerAnswer none;
    none.wasResponseLost =
      aResponse.Error() == platform::TableError::ResponseLost;
    return none;
  }
  return { aResponse.Value().status, aResponse.Value().body };
}

std::string
FetchMetrics(const std::string& aAddress)
{
  platform::HttpClient client(PlatformDeployment::kCallTimeout);
  return ToCallerAnswer(client.Get("http://" + aAddress + "/metrics")).body;
}
}

PlatformDeployment::PlatformDeployment(PlatformOptions aOptions)
  : options_(std::move(aOptions))
  , programsDirectory_(VANILLAWORKS_PROGRAMS)
{
  curl_global_init(CURL_GLOBAL_ALL);
  auto pattern =
    (std::filesystem::temp_directory_path() / "vanillaworks-XXXXXX").string();
  directory_ = ::mkdtemp(pattern.data());
  store_ =
    Launch({ programsDirectory_ + "/Tests/StandIns/vanillaworks-standins",
             "--role=store",
             "--listen=" + Address(kStoreHostNumber, kStorePort) },
           "store");
  if (options_.usesRelays) {
    StartRelay(
      kStoreRelayHostNumber, kStorePort, Address(kStoreHostNumber, kStorePort));
    for (std::size_t i = 0; i < options_.entries; ++i) {
      StartRelay(kFirstEntryRelayHostNumber + i,
                 kLinkPort,
                 Address(kFirstEntryHostNumber + i, kLinkPort));
    }
  }
  entries_.resize(options_.entries);
  agents_.resize(options_.workers);
  runners_.resize(options_.workers);
  for (std::size_t i = 0; i < options_.workers; ++i) {
    StartRunner(i);
    StartAgent(i);
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
}

PlatformDeployment::~PlatformDeployment()
{
  entries_.clear();
  agents_.clear();
  runners_.clear();
  relays_.clear();
  store_.reset();
  RemoveOrKeepLogs(directory_);
}

std::string
PlatformDeployment::Host(std::size_t aNumber) const
{
  return subnet_.Host(aNumber);
}

std::string
PlatformDeployment::Address(std::size_t aNumber, int aPort) const
{
  return fmt::format("{}:{}", Host(aNumber), aPort);
}

std::unique_ptr<Process>
PlatformDeployment::Launch(std::vector<std::string> aArguments,
                           const std::string& aName) const
{
  return std::make_unique<Process>(std::move(aArguments),
                                   (directory_ / (aName + ".log")).string());
}

std::string
PlatformDeployment::WriteSettings(const std::string& aName,
                                  const Json& aSettings) const
{
  auto path = (directory_ / (aName + ".json")).string();
  std::ofstream(path) << aSettings.dump(2);
  return path;
}

const std::string&
PlatformDeployment::DomainOf(std::size_t aWorker) const
{
  return options_.domains[aWorker % options_.domains.size()];
}

std::string
PlatformDeployment::StoreAddressFor(std::size_t aIndex) const
{
  bool isRelayed = options_.usesRelays && aIndex % 2 == 0;
  return Address(isRelayed ? kStoreRelayHostNumber : kStoreHostNumber,
                 kStorePort);
}

void
PlatformDeployment::StartRelay(std::size_t aHostNumber,
                               int aPort,
                               const std::string& aTarget)
{
  relays_.push_back(
    Launch({ programsDirectory_ + "/Tests/StandIns/vanillaworks-standins",
             "--role=relay",
             "--listen=" + Address(aHostNumber, aPort),
             "--target=" + aTarget,
             "--control=" + Address(aHostNumber, kRelayControlPort) },
           fmt::format("relay-{}", aHostNumber)));
}

void
PlatformDeployment::ControlRelay(std::size_t aHostNumber,
                                 const std::string& aMode) const
{
  platform::HttpClient client(kCallTimeout);
  (void)client.Post("http://" + Address(aHostNumber, kRelayControlPort) +
                      "/control",
                    Json{ { "mode", aMode } }.dump());
}

void
PlatformDeployment::ControlEntryRelay(std::size_t aEntry,
                                      const std::string& aMode) const
{
  ControlRelay(kFirstEntryRelayHostNumber + aEntry, aMode);
}

void
PlatformDeployment::ControlStoreRelay(const std::string& aMode) const
{
  ControlRelay(kStoreRelayHostNumber, aMode);
}

void
PlatformDeployment::StartEntry(std::size_t aIndex)
{
  auto name = fmt::format("entry-{}", aIndex);
  auto host = kFirstEntryHostNumber + aIndex;
  auto advertised =
    options_.usesRelays ? kFirstEntryRelayHostNumber + aIndex : host;
  auto path = WriteSettings(
    name,
    { { "deployment", "platform" },
      { "entry", name },
      { "failure_domain", DomainOf(aIndex) },
      { "front_address", Address(host, kFrontPort) },
      { "readiness_address", Address(host, kReadinessPort) },
      { "link_address", Address(host, kLinkPort) },
      { "advertised_address", Address(advertised, kLinkPort) },
      { "metrics_address", Address(host, kMetricsPort) },
      { "admission", options_.controlsOverload ? "by_priority" : "by_goal" },
      { "store_address", StoreAddressFor(aIndex) } });
  entries_[aIndex] =
    Launch({ programsDirectory_ + "/Services/Entry/vanillaworks-entry",
             "--settings",
             path },
           name);
}

void
PlatformDeployment::StartAgent(std::size_t aIndex)
{
  auto name = fmt::format("agent-{}", aIndex);
  auto firstEntry = Address(options_.usesRelays ? kFirstEntryRelayHostNumber
                                                : kFirstEntryHostNumber,
                            kControlPort);
  auto path = WriteSettings(
    name,
    { { "deployment", "platform" },
      { "upstream", name },
      { "control_address",
        Address(kFirstWorkerHostNumber + aIndex, kControlPort) },
      { "metrics_address",
        Address(kFirstWorkerHostNumber + aIndex, kMetricsPort) },
      { "entry_hosts", Json::array({ firstEntry }) },
      { "start_policy", options_.controlsOverload ? "lookahead" : "first_fit" },
      { "link_port", kLinkPort },
      { "store_address", StoreAddressFor(aIndex) } });
  agents_[aIndex] =
    Launch({ programsDirectory_ + "/Services/Agent/vanillaworks-agent",
             "--settings",
             path },
           name);
}

void
PlatformDeployment::StartRunner(std::size_t aIndex)
{
  auto host = kFirstWorkerHostNumber + aIndex;
  runners_[aIndex] =
    Launch({ programsDirectory_ + "/Tests/StandIns/vanillaworks-standins",
             "--role=runner",
             "--listen=" + Address(host, kRunnerPort),
             "--control=" + Address(host, kRunnerControlPort),
             "--agent=" + Address(host, kControlPort),
             fmt::format("--id=runner-{}", aIndex),
             "--domain=" + DomainOf(aIndex) },
           fmt::format("runner-{}", aIndex));
}

void
PlatformDeployment::WriteOperatorRow(const Json& aRow) const
{
  platform::HttpClient client(kCallTimeout);
  (void)client.Post("http://" + Address(kStoreHostNumber, kStorePort) +
                      "/operator",
                    aRow.dump());
}

void
PlatformDeployment::Configure(std::uint64_t aVersion, bool aHasQueue)
{
  auto routes = Json::array();
  for (std::size_t i = 0; aHasQueue && i < options_.entries; ++i) {
    routes.push_back({ { "name", fmt::format("tally-{}", i) },
                       { "host", Host(kFirstEntryHostNumber + i) },
                       { "pathPrefix", "/tally/" },
                       { "service", "tally" },
                       { "targetLatencyMs", 2000 },
                       { "timeoutMs", options_.timeout.count() },
                       { "maxAttempts", 2 },
                       { "stretch", 3 } });
  }
  Json configuration{ { "version", aVersion }, { "routes", routes } };
  // The platform's store holds values as base64, and the stand-in returns a
  // value as it was written.
  auto text = configuration.dump();
  std::string encoded;
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      auto byte = i + j < text.size() ? text[i + j] : ' ';
      group = (group << 8U) | static_cast<unsigned char>(byte);
    }
    for (int shift = 18; shift >= 0; shift -= 6) {
      encoded += kDigits[(group >> shift) & 63U];
    }
  }
  WriteOperatorRow({ { "key", "config" }, { "value", encoded } });
}

void
PlatformDeployment::CloseDomain(const std::string& aDomain)
{
  WriteOperatorRow({ { "key", "evacuate/" + aDomain }, { "value", "e30=" } });
}

void
PlatformDeployment::OpenDomain(const std::string& aDomain)
{
  WriteOperatorRow({ { "key", "evacuate/" + aDomain } });
}

void
PlatformDeployment::ControlStore(const std::string& aMode) const
{
  platform::HttpClient client(kCallTimeout);
  (void)client.Post("http://" + Address(kStoreHostNumber, kStorePort) +
                      "/control",
                    Json{ { "mode", aMode } }.dump());
}

void
PlatformDeployment::ControlRunner(std::size_t aIndex,
                                  const std::string& aMode) const
{
  PostToRunner(aIndex, { { "mode", aMode } });
}

void
PlatformDeployment::SetCapacity(std::size_t aIndex, std::int64_t aCpu) const
{
  PostToRunner(aIndex, { { "capacity", aCpu } });
}

void
PlatformDeployment::CrashRunnersUnder(const std::string& aJob,
                                      std::uint32_t aTask) const
{
  for (std::size_t i = 0; i < options_.workers; ++i) {
    PostToRunner(i, { { "crashTask", fmt::format("{}.0.0.{}", aJob, aTask) } });
  }
}

void
PlatformDeployment::PostToRunner(std::size_t aIndex, const Json& aBody) const
{
  platform::HttpClient client(kCallTimeout);
  (void)client.Post(
    "http://" + Address(kFirstWorkerHostNumber + aIndex, kRunnerControlPort) +
      "/control",
    aBody.dump());
}

CallerAnswer
PlatformDeployment::Post(std::size_t aEntry,
                         const std::string& aPath,
                         const std::string& aBody,
                         Milliseconds aTimeout) const
{
  platform::HttpClient client(aTimeout);
  return ToCallerAnswer(client.Post(
    "http://" + Address(kFirstEntryHostNumber + aEntry, kFrontPort) + aPath,
    aBody));
}

CallerAnswer
PlatformDeployment::Get(std::size_t aEntry, const std::string& aPath) const
{
  platform::HttpClient client(kCallTimeout);
  return ToCallerAnswer(client.Get(
    "http://" + Address(kFirstEntryHostNumber + aEntry, kFrontPort) + aPath));
}

CallerAnswer
PlatformDeployment::Cancel(std::size_t aEntry, const std::string& aId) const
{
  platform::HttpClient client(kCallTimeout);
  return ToCallerAnswer(client.Delete(
    "http://" + Address(kFirstEntryHostNumber + aEntry, kFrontPort) +
    "/tally/" + aId));
}

std::string
PlatformDeployment::FrontAddress(std::size_t aEntry) const
{
  return Address(kFirstEntryHostNumber + aEntry, kFrontPort);
}

std::string
PlatformDeployment::ReadinessAddress(std::size_t aEntry) const
{
  return Address(kFirstEntryHostNumber + aEntry, kReadinessPort);
}

std::string
PlatformDeployment::EntryMetricsAddress(std::size_t aEntry) const
{
  return Address(kFirstEntryHostNumber + aEntry, kMetricsPort);
}

std::string
PlatformDeployment::LinkAddress(std::size_t aEntry) const
{
  return Address(kFirstEntryHostNumber + aEntry, kLinkPort);
}

std::string
PlatformDeployment::ControlAddress(std::size_t aAgent) const
{
  return Address(kFirstWorkerHostNumber + aAgent, kControlPort);
}

std::string
PlatformDeployment::AgentMetricsAddress(std::size_t aAgent) const
{
  return Address(kFirstWorkerHostNumber + aAgent, kMetricsPort);
}

std::string
PlatformDeployment::EntryMetrics(std::size_t aEntry) const
{
  return FetchMetrics(EntryMetricsAddress(aEntry));
}

std::string
PlatformDeployment::AgentMetrics(std::size_t aAgent) const
{
  return FetchMetrics(AgentMetricsAddress(aAgent));
}

bool
PlatformDeployment::IsReady(std::size_t aEntry) const
{
  platform::HttpClient client(kCallTimeout);
  auto response = ToCallerAnswer(client.Get(
    "http://" + Address(kFirstEntryHostNumber + aEntry, kReadinessPort) +
    "/readyz"));
  return response.status == kOk;
}

CallerAnswer
PlatformDeployment::Submit(std::size_t aEntry,
                           const std::string& aId,
                           std::size_t aTaskCount,
                           int aTaskMilliseconds,
                           Milliseconds aTimeout) const
{
  Json body{ { "spec", std::to_string(aTaskMilliseconds) },
             { "bestEffort", true },
             { "steps",
               { { { "count", aTaskCount },
                   { "cpu", 1000 },
                   { "memMb", 64 },
                   { "estimateMs", aTaskMilliseconds } } } } };
  return Post(aEntry, "/tally/" + aId, body.dump(), aTimeout);
}

CallerAnswer
PlatformDeployment::SubmitWithRetries(std::size_t aEntry,
                                      const std::string& aId,
                                      std::size_t aTaskCount,
                                      int aTaskMilliseconds,
                                      Milliseconds aTimeout) const
{
  CallerAnswer answer;
  for (int i = 0; i < kMaxAttempts; ++i) {
    auto entry = (aEntry + static_cast<std::size_t>(i)) % options_.entries;
    bool wasResponseLost = answer.wasResponseLost;
    answer = Submit(entry, aId, aTaskCount, aTaskMilliseconds, aTimeout);
    answer.wasResponseLost |= wasResponseLost;
    answer.attempts = i + 1;
    bool shouldRetry = answer.status == 0 || answer.status == kBadGateway ||
                       answer.status == kGatewayTimeout;
    if (!shouldRetry) {
      return answer;
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  return answer;
}

bool
PlatformDeployment::WaitUntilReady(int aSeconds)
{
  auto until = MonotonicNow() + std::chrono::seconds(aSeconds);
  std::uint64_t nextJobNumber = 1U << 30U;
  while (MonotonicNow() < until) {
    std::this_thread::sleep_for(Milliseconds(100));
    // The store may not have been listening at the previous attempt.
    Configure(1, true);
    bool areReady = true;
    for (std::size_t i = 0; i < options_.entries; ++i) {
      // A worker runs 8 tasks of one core at a time.
      areReady =
        areReady && IsReady(i) &&
        Submit(i, JobId(nextJobNumber++), 8 * options_.workers, 20).status ==
          kOk;
    }
    if (areReady) {
      return true;
    }
  }
  return false;
}

bool
PlatformDeployment::WaitForReadiness(std::size_t aEntry) const
{
  auto until = MonotonicNow() + kRecoveryBound;
  while (MonotonicNow() < until) {
    if (IsReady(aEntry)) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

std::vector<RunRecord>
PlatformDeployment::RunRecords() const
{
  std::vector<RunRecord> records;
  for (std::size_t i = 0; i < options_.workers; ++i) {
    platform::HttpClient client(kCallTimeout);
    auto response = ToCallerAnswer(client.Get(
      "http://" + Address(kFirstWorkerHostNumber + i, kRunnerControlPort) +
      "/starts"));
    auto body = Json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
      continue;
    }
    if (body.at("wentOver")) {
      records.push_back({ "over capacity", 0, DomainOf(i), 0, 0 });
    }
    for (const auto& row : body.at("starts")) {
      records.push_back({ row.at("job"),
                          row.at("task"),
                          DomainOf(i),
                          row.at("began"),
                          row.at("ended"),
                          i,
                          row.at("crashed") });
    }
  }
  return records;
}

std::int64_t
PlatformDeployment::NowMicroseconds()
{
  return ToMicroseconds(MonotonicNow());
}

std::string
PlatformDeployment::JobId(std::uint64_t aNumber)
{
  return fmt::format("{:016x}", aNumber);
}

}
