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

/** A start of a task as recorded by its upstream. */
struct StartRecord
{
  std::string upstream;
  std::string submission;
  std::uint32_t task;
  /** Microseconds of the monotonic clock. */
  std::int64_t startedAt;
  std::int64_t endedAt;
};

struct DeploymentOptions
{
  std::size_t entries = 2;
  std::vector<std::string> domains{ "pier-end", "promenade" };
  std::size_t upstreams = 4;
  std::uint32_t slots = 8;
  /** Speed of each upstream; 1 for upstreams past the end of the list. */
  std::vector<double> speeds;
  /** Puts a relay between each agent and each entry. */
  bool usesRelays = false;
  std::int64_t relayDelayMicroseconds = 0;
  /** Enables each agent's status endpoints, which AgentMetric() needs. */
  bool hasAgentStatusEndpoints = false;
  /** JSON merge patches for the settings of every entry and agent. */
  nlohmann::json entrySettings = nlohmann::json::object();
  nlohmann::json agentSettings = nlohmann::json::object();
};

/**
 * Runs the whole system on the loopback interface, each part as a process of
 * its own: table, upstreams, agents, entries and, on request, relays.
 */
class Deployment
{
public:
  using Json = nlohmann::json;

  explicit Deployment(DeploymentOptions aOptions);
  ~Deployment();

  /**
   * Waits until every entry has all upstreams in service and a current
   * configuration, and knows that all entries have the same version. Returns
   * false if that takes longer than aSeconds.
   */
  bool WaitUntilReady(int aSeconds = 20);

  std::string EntryUrl(std::size_t aEntry) const;
  /** Listening addresses, "host:port". */
  std::string HttpAddress(std::size_t aEntry) const;
  std::string LinkAddress(std::size_t aEntry) const;
  std::string AgentStatusAddress(std::size_t aUpstream) const;
  Process& Entry(std::size_t aEntry) { return *entries_[aEntry]; }
  Process& Agent(std::size_t aUpstream) { return *agents_[aUpstream]; }
  Process& Upstream(std::size_t aUpstream) { return *upstreams_[aUpstream]; }
  void StartEntry(std::size_t aEntry);
  void StartAgent(std::size_t aUpstream);
  void StartUpstream(std::size_t aUpstream);
  std::string UpstreamName(std::size_t aUpstream) const;
  std::string DomainOf(std::size_t aUpstream) const;

  /** Blocks until the answer; returns nothing if no JSON body arrived. */
  std::optional<Json> Submit(std::size_t aEntry,
                             const Json& aBody,
                             long* aStatus = nullptr) const;
  std::optional<Json> Request(std::size_t aEntry, const Json& aBody) const;
  std::optional<Json> Get(std::size_t aEntry, const std::string& aPath) const;
  std::optional<Json> Patch(std::size_t aEntry,
                            std::uint64_t aBaseVersion,
                            const Json& aPatch,
                            long* aStatus = nullptr) const;
  /** Returns the entry's configuration version; 0 if it does not respond. */
  std::uint64_t CurrentVersion(std::size_t aEntry) const;
  /** Returns the first value of a metric; 0 if the metric is missing. */
  double Metric(std::size_t aEntry, const std::string& aName) const;
  /** Returns the values of a metric by the value of its only label. */
  std::map<std::string, double> Metrics(std::size_t aEntry,
                                        const std::string& aName) const;
  std::map<std::string, double> AgentMetrics(std::size_t aUpstream,
                                             const std::string& aName) const;
  double AgentMetric(std::size_t aUpstream, const std::string& aName) const;

  void ControlTable(const Json& aBody) const;
  void ControlUpstream(std::size_t aUpstream, const Json& aBody) const;
  void ControlRelay(std::size_t aUpstream,
                    std::size_t aEntry,
                    const std::string& aMode) const;

  std::vector<StartRecord> StartRecords() const;
  /** Counts starts of tasks that had been started before on any upstream. */
  std::size_t CountRepeatedStarts() const;

  static Json MakeJob(const std::string& aId,
                      std::size_t aTaskCount,
                      int aTaskMilliseconds,
                      int aDeadlineSeconds = 30);
  static std::int64_t NowMicroseconds();
  /** Polls aCondition; returns false if it does not hold within aSeconds. */
  static bool WaitFor(const std::function<bool()>& aCondition,
                      int aSeconds = 20);

private:
  std::string WriteSettings(const std::string& aName, const Json& aSettings);
  std::string LogPath(const std::string& aName) const;
  std::string UpstreamUrl(std::size_t aUpstream) const;
  std::string AgentStatusUrl(std::size_t aUpstream) const;
  static std::uint16_t FreePort();
  static std::map<std::string, double> ReadMetrics(const std::string& aUrl,
                                                   const std::string& aName);
  static double ReadMetric(const std::string& aUrl, const std::string& aName);

  DeploymentOptions options_;
  std::filesystem::path directory_;
  std::string programsDirectory_;
  std::uint16_t tablePort_;
  std::vector<std::uint16_t> httpPorts_;
  std::vector<std::uint16_t> linkPorts_;
  std::vector<std::uint16_t> upstreamPorts_;
  std::vector<std::uint16_t> agentStatusPorts_;
  std::vector<std::vector<std::uint16_t>> relayPorts_;
  std::vector<std::vector<std::uint16_t>> relayControlPorts_;
  std::unique_ptr<Process> table_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::unique_ptr<Process>> upstreams_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}

#endif
