#ifndef Tests_System_Deployment_h
#define Tests_System_Deployment_h

#include "LibPlatform/HttpClient.h"
#include "Tests/System/Process.h"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::system {

/** A start that an upstream noted. */
struct StartRecord
{
  std::string upstream;
  std::string submission;
  std::uint32_t task;
  /** Monotonic microseconds. */
  std::int64_t startedAt;
  std::int64_t endedAt;
};

struct DeploymentOptions
{
  std::size_t entries = 2;
  std::vector<std::string> domains{ "pier-end", "promenade" };
  std::size_t upstreams = 4;
  std::uint32_t slots = 8;
  /** By upstream; 1 where none is given. */
  std::vector<double> speeds;
  /** Puts a relay between each agent and each entry. */
  bool relays = false;
  std::int64_t relayDelayMicroseconds = 0;
  /** Opens each agent's pages, for AgentMetric(). */
  bool agentPages = false;
  /** Merged into every entry's or agent's settings. */
  nlohmann::json entrySettings = nlohmann::json::object();
  nlohmann::json agentSettings = nlohmann::json::object();
};

/**
 * The whole system on loopback as separate processes: table, upstreams,
 * agents and entries, and relays if asked for.
 */
class Deployment
{
public:
  using Json = nlohmann::json;

  explicit Deployment(DeploymentOptions aOptions);
  ~Deployment();

  /** All agents are linked with all entries and entered in the table. */
  bool WaitUntilReady(int aSeconds = 20);

  std::string EntryUrl(std::size_t aEntry) const;
  Process& Entry(std::size_t aEntry) { return *entries_[aEntry]; }
  Process& Agent(std::size_t aUpstream) { return *agents_[aUpstream]; }
  Process& Upstream(std::size_t aUpstream) { return *upstreams_[aUpstream]; }
  void StartEntry(std::size_t aEntry);
  void StartAgent(std::size_t aUpstream);
  void StartUpstream(std::size_t aUpstream);
  std::string UpstreamName(std::size_t aUpstream) const;
  std::string DomainOf(std::size_t aUpstream) const;

  /** Blocks until the answer; nothing when the connection broke. */
  std::optional<Json> Submit(std::size_t aEntry,
                             const Json& aBody,
                             long* aStatus = nullptr) const;
  std::optional<Json> Request(std::size_t aEntry, const Json& aBody) const;
  std::optional<Json> Get(std::size_t aEntry, const std::string& aPath) const;
  std::optional<Json> Patch(std::size_t aEntry,
                            std::uint64_t aBase,
                            const Json& aPatch,
                            long* aStatus = nullptr) const;
  std::uint64_t Version(std::size_t aEntry) const;
  double Metric(std::size_t aEntry, const std::string& aLine) const;
  /** A metric's values by its one label. */
  std::map<std::string, double> Metrics(std::size_t aEntry,
                                        const std::string& aName) const;
  std::map<std::string, double> AgentMetrics(std::size_t aUpstream,
                                             const std::string& aName) const;
  double AgentMetric(std::size_t aUpstream, const std::string& aLine) const;

  void ControlTable(const Json& aBody) const;
  void ControlUpstream(std::size_t aUpstream, const Json& aBody) const;
  void ControlRelay(std::size_t aUpstream,
                    std::size_t aEntry,
                    const std::string& aMode) const;

  std::vector<StartRecord> Records() const;
  /** Starts of one task more than once, over all upstreams. */
  std::size_t StartedTwice() const;

  static Json Job(const std::string& aId,
                  std::size_t aTasks,
                  int aMilliseconds,
                  int aDeadlineSeconds = 30);
  static std::int64_t NowMicroseconds();
  static bool WaitFor(const std::function<bool()>& aCondition,
                      int aSeconds = 20);

private:
  std::string WriteSettings(const std::string& aName, const Json& aSettings);
  std::string LogPath(const std::string& aName) const;
  std::string UpstreamUrl(std::size_t aUpstream) const;
  std::string PagesUrl(std::size_t aUpstream) const;
  static std::uint16_t FreePort();
  static std::map<std::string, double> ReadMetrics(const std::string& aUrl,
                                                   const std::string& aName);
  static double ReadMetric(const std::string& aUrl, const std::string& aLine);

  DeploymentOptions options_;
  std::filesystem::path directory_;
  std::string programs_;
  std::uint16_t tablePort_;
  std::vector<std::uint16_t> httpPorts_;
  std::vector<std::uint16_t> linkPorts_;
  std::vector<std::uint16_t> upstreamPorts_;
  std::vector<std::uint16_t> pagesPorts_;
  std::vector<std::vector<std::uint16_t>> relayPorts_;
  std::vector<std::vector<std::uint16_t>> relayControls_;
  std::unique_ptr<Process> table_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::unique_ptr<Process>> upstreams_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}

#endif
