#ifndef Tests_System_PlatformDeployment_h
#define Tests_System_PlatformDeployment_h

#include "LibCore/Time.h"
#include "Tests/System/LoopbackSubnet.h"
#include "Tests/System/Process.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillaworks::system {

struct PlatformOptions
{
  std::size_t entries = 2;
  std::size_t workers = 4;
  std::vector<std::string> domains{ "pier-end", "promenade" };
  /**
   * Puts a relay in front of each entry's link address, and one between the
   * store and every second entry and agent.
   */
  bool usesRelays = false;
  /** Time that a job has where its caller names no deadline. */
  Milliseconds timeout{ 6000 };
  /** Admission by priority at entries, start policy "lookahead" at agents. */
  bool controlsOverload = false;
};

/**
 * A run of a task as recorded by its runner, in microseconds of the host's
 * monotonic clock. startedAt is 0 in a record that reports a runner whose tasks
 * exceeded its capacity.
 */
struct RunRecord
{
  std::string job;
  std::uint32_t task;
  std::string domain;
  std::int64_t startedAt;
  /** 0 while the task runs. */
  std::int64_t endedAt;
  std::size_t worker = 0;
  /** The task crashed its runner. */
  bool crashedRunner = false;
};

/** The response to a caller's request. */
struct CallerAnswer
{
  /** HTTP status; 0 if no response arrived. */
  long status = 0;
  std::string body;
  int attempts = 1;
  /** An attempt was sent to an entry, but no response to it arrived. */
  bool wasResponseLost = false;
};

/**
 * Runs entries, agents, runners and the store as separate processes on
 * addresses of the loopback range. They speak the platform's protocol.
 */
class PlatformDeployment
{
public:
  using Json = nlohmann::json;
  static constexpr Milliseconds kCallTimeout{ 8000 };
  /** Time after which a caller without a response submits its job again. */
  static constexpr Milliseconds kRetryDelay{ 1300 };

  explicit PlatformDeployment(PlatformOptions aOptions);
  ~PlatformDeployment();

  /**
   * Waits until every entry is ready and completes a job that fills all
   * workers. Returns false if that takes longer than aSeconds.
   */
  bool WaitUntilReady(int aSeconds = 15);
  /** Listening addresses, "host:port". */
  std::string FrontAddress(std::size_t aEntry) const;
  std::string ReadinessAddress(std::size_t aEntry) const;
  std::string EntryMetricsAddress(std::size_t aEntry) const;
  std::string LinkAddress(std::size_t aEntry) const;
  std::string ControlAddress(std::size_t aAgent) const;
  std::string AgentMetricsAddress(std::size_t aAgent) const;

  /** Returns the body of /metrics; empty if the request failed. */
  std::string EntryMetrics(std::size_t aEntry) const;
  std::string AgentMetrics(std::size_t aAgent) const;
  /**
   * Waits until the entry reports that it is ready. Returns false if that takes
   * longer than the bound on recovery.
   */
  bool WaitForReadiness(std::size_t aEntry) const;

  Process& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  Process& Agent(std::size_t aIndex) { return *agents_[aIndex]; }
  Process& Runner(std::size_t aIndex) { return *runners_[aIndex]; }
  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  void StartRunner(std::size_t aIndex);
  const PlatformOptions& Options() const { return options_; }
  const std::string& DomainOf(std::size_t aWorker) const;

  /**
   * Submits a job to one entry, once. The caller closes its connection if it
   * has no response after aTimeout.
   */
  CallerAnswer Submit(std::size_t aEntry,
                      const std::string& aId,
                      std::size_t aTaskCount,
                      int aTaskMilliseconds,
                      Milliseconds aTimeout = kCallTimeout) const;
  CallerAnswer Post(std::size_t aEntry,
                    const std::string& aPath,
                    const std::string& aBody,
                    Milliseconds aTimeout = kCallTimeout) const;
  /**
   * Submits a job as the platform's callers do: after no response, 502 or 504
   * it retries on the next entry 1.3 s later, with 6 attempts at most.
   */
  CallerAnswer SubmitWithRetries(std::size_t aEntry,
                                 const std::string& aId,
                                 std::size_t aTaskCount,
                                 int aTaskMilliseconds,
                                 Milliseconds aTimeout = kCallTimeout) const;
  CallerAnswer Get(std::size_t aEntry, const std::string& aPath) const;
  CallerAnswer Cancel(std::size_t aEntry, const std::string& aId) const;
  bool IsReady(std::size_t aEntry) const;

  /** Writes the configuration, with or without routes to "/tally/". */
  void Configure(std::uint64_t aVersion, bool aHasQueue);
  void CloseDomain(const std::string& aDomain);
  void OpenDomain(const std::string& aDomain);
  void ControlStore(const std::string& aMode) const;
  void ControlRunner(std::size_t aIndex, const std::string& aMode) const;
  /** Sets a runner's capacity in thousandths of a core, by its next report. */
  void SetCapacity(std::size_t aIndex, std::int64_t aCpu) const;
  /** From now on, each runner crashes that starts the task. */
  void CrashRunnersUnder(const std::string& aJob, std::uint32_t aTask) const;
  /**
   * Sets the mode of the relay between the agents and an entry: "pass", "cut",
   * "silence" or "one_way" (see Relay).
   */
  void ControlEntryRelay(std::size_t aEntry, const std::string& aMode) const;
  /** Sets the mode of the relay between every second process and the store. */
  void ControlStoreRelay(const std::string& aMode) const;

  /**
   * Returns the runs of all runners, including those of earlier incarnations of
   * a runner.
   */
  std::vector<RunRecord> RunRecords() const;
  static std::int64_t NowMicroseconds();
  static std::string JobId(std::uint64_t aNumber);

private:
  static constexpr std::size_t kFirstEntryHostNumber = 11;
  static constexpr std::size_t kFirstWorkerHostNumber = 61;

  std::string Host(std::size_t aNumber) const;
  std::string Address(std::size_t aNumber, int aPort) const;
  std::string WriteSettings(const std::string& aName, const Json&) const;
  void WriteOperatorRow(const Json& aRow) const;
  void PostToRunner(std::size_t aIndex, const Json& aBody) const;
  std::string StoreAddressFor(std::size_t aIndex) const;
  void StartRelay(std::size_t aHostNumber,
                  int aPort,
                  const std::string& aTarget);
  void ControlRelay(std::size_t aHostNumber, const std::string& aMode) const;
  std::unique_ptr<Process> Launch(std::vector<std::string> aArguments,
                                  const std::string& aName) const;

  PlatformOptions options_;
  std::filesystem::path directory_;
  std::string programsDirectory_;
  LoopbackSubnet subnet_;
  std::unique_ptr<Process> store_;
  std::vector<std::unique_ptr<Process>> relays_;
  std::vector<std::unique_ptr<Process>> runners_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}

#endif
