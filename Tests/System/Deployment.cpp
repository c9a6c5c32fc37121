#include "Tests/System/Deployment.h"

#include "LibCore/Time.h"
#include "Tests/System/LogRetention.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fmt/format.h>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace vanillaworks::system {

namespace {
constexpr Milliseconds kCallTimeout{ 120'000 };
const std::string kLoopbackHostPrefix = "127.0.0.1:";

std::optional<nlohmann::json>
Parse(const Result<platform::HttpResponse, platform::TableError>& aResponse,
      long* aStatus = nullptr)
{
  if (aResponse.IsError()) {
    return {};
  }
  if (aStatus) {
    *aStatus = aResponse.Value().status;
  }
  auto body = nlohmann::json::parse(aResponse.Value().body, nullptr, false);
  if (body.is_discarded()) {
    return {};
  }
  return body;
}
}

Deployment::Deployment(DeploymentOptions aOptions)
  : options_(std::move(aOptions))
  , programsDirectory_(VANILLAWORKS_PROGRAMS)
  , tablePort_(FreePort())
{
  curl_global_init(CURL_GLOBAL_ALL);
  auto pattern =
    (std::filesystem::temp_directory_path() / "vanillaworks-XXXXXX").string();
  directory_ = ::mkdtemp(pattern.data());
  for (std::size_t i = 0; i < options_.entries; ++i) {
    httpPorts_.push_back(FreePort());
    linkPorts_.push_back(FreePort());
  }
  auto standInsPath =
    programsDirectory_ + "/Tests/StandIns/vanillaworks-standins";
  table_ = std::make_unique<Process>(
    std::vector<std::string>{ standInsPath,
                              "--role=table",
                              "--listen=" + kLoopbackHostPrefix +
                                std::to_string(tablePort_) },
    LogPath("table"));
  entries_.resize(options_.entries);
  upstreams_.resize(options_.upstreams);
  agents_.resize(options_.upstreams);
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    upstreamPorts_.push_back(FreePort());
    agentStatusPorts_.push_back(FreePort());
    relayPorts_.emplace_back();
    relayControlPorts_.emplace_back();
    for (std::size_t j = 0; options_.usesRelays && j < options_.entries; ++j) {
      relayPorts_[i].push_back(FreePort());
      relayControlPorts_[i].push_back(FreePort());
      relays_.push_back(std::make_unique<Process>(
        std::vector<std::string>{
          standInsPath,
          "--role=relay",
          "--listen=" + kLoopbackHostPrefix + std::to_string(relayPorts_[i][j]),
          "--target=" + kLoopbackHostPrefix + std::to_string(linkPorts_[j]),
          "--control=" + kLoopbackHostPrefix +
            std::to_string(relayControlPorts_[i][j]),
          "--delay-us=" + std::to_string(options_.relayDelayMicroseconds) },
        LogPath("relay")));
    }
    StartUpstream(i);
  }
  for (std::size_t i = 0; i < options_.entries; ++i) {
    StartEntry(i);
  }
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    StartAgent(i);
  }
}

Deployment::~Deployment()
{
  agents_.clear();
  entries_.clear();
  upstreams_.clear();
  relays_.clear();
  table_.reset();
  RemoveOrKeepLogs(directory_);
}

std::string
Deployment::LogPath(const std::string& aName) const
{
  return directory_ / (aName + ".log");
}

std::string
Deployment::WriteSettings(const std::string& aName, const Json& aSettings)
{
  auto path = directory_ / (aName + ".json");
  std::ofstream(path) << aSettings.dump(2);
  return path;
}

std::string
Deployment::UpstreamName(std::size_t aUpstream) const
{
  return "runner-" + std::to_string(aUpstream);
}

std::string
Deployment::DomainOf(std::size_t aUpstream) const
{
  return options_.domains[aUpstream % options_.domains.size()];
}

void
Deployment::StartEntry(std::size_t aEntry)
{
  auto name = "entry-" + std::to_string(aEntry);
  Json settings{ { "entry", name },
                 { "http_address",
                   kLoopbackHostPrefix + std::to_string(httpPorts_[aEntry]) },
                 { "link_address",
                   kLoopbackHostPrefix + std::to_string(linkPorts_[aEntry]) },
                 { "table_url",
                   "http://" + kLoopbackHostPrefix +
                     std::to_string(tablePort_) } };
  settings.merge_patch(options_.entrySettings);
  entries_[aEntry] = std::make_unique<Process>(
    std::vector<std::string>{ programsDirectory_ +
                                "/Services/Entry/vanillaworks-entry",
                              "--settings=" + WriteSettings(name, settings) },
    LogPath(name));
}

void
Deployment::StartUpstream(std::size_t aUpstream)
{
  double speed =
    aUpstream < options_.speeds.size() ? options_.speeds[aUpstream] : 1.0;
  upstreams_[aUpstream] = std::make_unique<Process>(
    std::vector<std::string>{ programsDirectory_ +
                                "/Tests/StandIns/vanillaworks-standins",
                              "--role=upstream",
                              "--listen=" + kLoopbackHostPrefix +
                                std::to_string(upstreamPorts_[aUpstream]),
                              fmt::format("--speed={}", speed) },
    LogPath("upstream"));
}

void
Deployment::StartAgent(std::size_t aUpstream)
{
  auto name = "agent-" + std::to_string(aUpstream);
  Json settings{ { "upstream", UpstreamName(aUpstream) },
                 { "failure_domain", DomainOf(aUpstream) },
                 { "kinds", { "count" } },
                 { "slots", options_.slots },
                 { "connections", 64 },
                 { "cores", 64 },
                 { "memory_mb", 262144 },
                 { "upstream_url", UpstreamUrl(aUpstream) },
                 { "entries", Json::array() } };
  for (std::size_t i = 0; i < options_.entries; ++i) {
    auto port = options_.usesRelays ? relayPorts_[aUpstream][i] : linkPorts_[i];
    settings["entries"].push_back(kLoopbackHostPrefix + std::to_string(port));
  }
  if (options_.usesRelays) {
    settings["learn_entries"] = false;
  }
  if (options_.hasAgentStatusEndpoints) {
    settings["pages_address"] =
      kLoopbackHostPrefix + std::to_string(agentStatusPorts_[aUpstream]);
  }
  settings.merge_patch(options_.agentSettings);
  agents_[aUpstream] = std::make_unique<Process>(
    std::vector<std::string>{ programsDirectory_ +
                                "/Services/Agent/vanillaworks-agent",
                              "--settings=" + WriteSettings(name, settings) },
    LogPath(name));
}

std::string
Deployment::EntryUrl(std::size_t aEntry) const
{
  return "http://" + HttpAddress(aEntry);
}

std::string
Deployment::HttpAddress(std::size_t aEntry) const
{
  return kLoopbackHostPrefix + std::to_string(httpPorts_[aEntry]);
}

std::string
Deployment::LinkAddress(std::size_t aEntry) const
{
  return kLoopbackHostPrefix + std::to_string(linkPorts_[aEntry]);
}

std::string
Deployment::UpstreamUrl(std::size_t aUpstream) const
{
  return "http://" + kLoopbackHostPrefix +
         std::to_string(upstreamPorts_[aUpstream]);
}

bool
Deployment::WaitUntilReady(int aSeconds)
{
  return WaitFor(
    [this] {
      for (std::size_t i = 0; i < options_.entries; ++i) {
        auto upstreams = Get(i, "/v1/upstreams");
        if (!upstreams || !upstreams->contains("upstreams") ||
            (*upstreams)["upstreams"].size() != options_.upstreams) {
          return false;
        }
        for (const auto& upstream : (*upstreams)["upstreams"]) {
          if (upstream["state"] != "in_service") {
            return false;
          }
        }
        auto configuration = Get(i, "/v1/configuration");
        bool isConfigured =
          configuration && (*configuration)["fresh"].get<bool>() &&
          (*configuration)["entries_with_version"] == options_.entries;
        if (!isConfigured) {
          return false;
        }
      }
      return true;
    },
    aSeconds);
}

bool
Deployment::WaitFor(const std::function<bool()>& aCondition, int aSeconds)
{
  auto until = MonotonicNow() + std::chrono::seconds(aSeconds);
  while (MonotonicNow() < until) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

std::optional<Deployment::Json>
Deployment::Submit(std::size_t aEntry, const Json& aBody, long* aStatus) const
{
  platform::HttpClient client(kCallTimeout);
  return Parse(client.Post(EntryUrl(aEntry) + "/v1/submissions", aBody.dump()),
               aStatus);
}

std::optional<Deployment::Json>
Deployment::Request(std::size_t aEntry, const Json& aBody) const
{
  platform::HttpClient client(kCallTimeout);
  return Parse(client.Post(EntryUrl(aEntry) + "/v1/requests", aBody.dump()));
}

std::optional<Deployment::Json>
Deployment::Get(std::size_t aEntry, const std::string& aPath) const
{
  platform::HttpClient client(Milliseconds(3000));
  return Parse(client.Get(EntryUrl(aEntry) + aPath));
}

std::optional<Deployment::Json>
Deployment::Patch(std::size_t aEntry,
                  std::uint64_t aBaseVersion,
                  const Json& aPatch,
                  long* aStatus) const
{
  platform::HttpClient client(kCallTimeout);
  Json body{ { "base_version", aBaseVersion }, { "patch", aPatch } };
  return Parse(
    client.Post(EntryUrl(aEntry) + "/v1/configuration/patches", body.dump()),
    aStatus);
}

std::uint64_t
Deployment::CurrentVersion(std::size_t aEntry) const
{
  auto configuration = Get(aEntry, "/v1/configuration");
  return configuration ? (*configuration)["version"].get<std::uint64_t>() : 0;
}

double
Deployment::Metric(std::size_t aEntry, const std::string& aName) const
{
  return ReadMetric(EntryUrl(aEntry), aName);
}

double
Deployment::AgentMetric(std::size_t aUpstream, const std::string& aName) const
{
  return ReadMetric(AgentStatusUrl(aUpstream), aName);
}

std::map<std::string, double>
Deployment::Metrics(std::size_t aEntry, const std::string& aName) const
{
  return ReadMetrics(EntryUrl(aEntry), aName);
}

std::map<std::string, double>
Deployment::AgentMetrics(std::size_t aUpstream, const std::string& aName) const
{
  return ReadMetrics(AgentStatusUrl(aUpstream), aName);
}

std::string
Deployment::AgentStatusUrl(std::size_t aUpstream) const
{
  return "http://" + AgentStatusAddress(aUpstream);
}

std::string
Deployment::AgentStatusAddress(std::size_t aUpstream) const
{
  return kLoopbackHostPrefix + std::to_string(agentStatusPorts_[aUpstream]);
}

std::map<std::string, double>
Deployment::ReadMetrics(const std::string& aUrl, const std::string& aName)
{
  std::map<std::string, double> values;
  platform::HttpClient client(Milliseconds(3000));
  auto response = client.Get(aUrl + "/metrics");
  if (response.IsError()) {
    return values;
  }
  std::istringstream lines(response.Value().body);
  for (std::string line; std::getline(lines, line);) {
    bool isNamed =
      line.starts_with(aName + " ") || line.starts_with(aName + "{");
    if (!isNamed) {
      continue;
    }
    auto from = line.find('"');
    auto to = line.rfind('"');
    auto label = from == std::string::npos
                   ? std::string()
                   : line.substr(from + 1, to - from - 1);
    values[label] = std::stod(line.substr(line.rfind(' ')));
  }
  return values;
}

double
Deployment::ReadMetric(const std::string& aUrl, const std::string& aName)
{
  auto values = ReadMetrics(aUrl, aName);
  return values.empty() ? 0 : values.begin()->second;
}

void
Deployment::ControlTable(const Json& aBody) const
{
  platform::HttpClient client(Milliseconds(3000));
  (void)client.Post("http://" + kLoopbackHostPrefix +
                      std::to_string(tablePort_) + "/control",
                    aBody.dump());
}

void
Deployment::ControlUpstream(std::size_t aUpstream, const Json& aBody) const
{
  platform::HttpClient client(Milliseconds(3000));
  (void)client.Post(UpstreamUrl(aUpstream) + "/control", aBody.dump());
}

void
Deployment::ControlRelay(std::size_t aUpstream,
                         std::size_t aEntry,
                         const std::string& aMode) const
{
  platform::HttpClient client(Milliseconds(3000));
  auto port = relayControlPorts_[aUpstream][aEntry];
  (void)client.Post("http://" + kLoopbackHostPrefix + std::to_string(port) +
                      "/control",
                    Json{ { "mode", aMode } }.dump());
}

std::vector<StartRecord>
Deployment::StartRecords() const
{
  std::vector<StartRecord> records;
  platform::HttpClient client(Milliseconds(10'000));
  for (std::size_t i = 0; i < options_.upstreams; ++i) {
    auto response = Parse(client.Get(UpstreamUrl(i) + "/records"));
    if (!response) {
      continue;
    }
    for (const auto& record : *response) {
      records.push_back({ UpstreamName(i),
                          record[0].get<std::string>(),
                          record[1].get<std::uint32_t>(),
                          record[2].get<std::int64_t>(),
                          record[3].get<std::int64_t>() });
    }
  }
  return records;
}

std::size_t
Deployment::CountRepeatedStarts() const
{
  std::set<std::pair<std::string, std::uint32_t>> startedTasks;
  std::size_t repeated = 0;
  for (const auto& record : StartRecords()) {
    repeated +=
      startedTasks.emplace(record.submission, record.task).second ? 0 : 1;
  }
  return repeated;
}

Deployment::Json
Deployment::MakeJob(const std::string& aId,
                    std::size_t aTaskCount,
                    int aTaskMilliseconds,
                    int aDeadlineSeconds)
{
  auto deadline = WallNow() + std::chrono::seconds(aDeadlineSeconds);
  Json job{ { "submission_id", aId },
            { "team", "tills" },
            { "deadline_ms", deadline.time_since_epoch().count() },
            { "tasks", Json::array() } };
  for (std::size_t i = 0; i < aTaskCount; ++i) {
    job["tasks"].push_back(
      { { "id", "t" + std::to_string(i) },
        { "kind", "count" },
        { "payload", std::to_string(aTaskMilliseconds) } });
  }
  return job;
}

std::int64_t
Deployment::NowMicroseconds()
{
  return ToMicroseconds(MonotonicNow());
}

std::uint16_t
Deployment::FreePort()
{
  static std::set<std::uint16_t> sAllocatedPorts;
  while (true) {
    int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    (void)::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length);
    (void)::getsockname(
      descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    auto port = ntohs(address.sin_port);
    if (sAllocatedPorts.insert(port).second) {
      return port;
    }
  }
}

}
