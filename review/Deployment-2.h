#ifndef review_Deployment_2_h
#define review_Deployment_2_h

#include "review/Proxy-2.h"
#include "review/Runner-2.h"
#include "review/Store-2.h"

#include <memory>
#include <optional>
#include <sys/types.h>

namespace vanillaworks::review {

/** A program that the test has started; it is killed at the end. */
class Process
{
public:
  Process(const std::vector<std::string>& aCommand, const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aSignal) const;
  /** Whether the program has not ended yet. */
  bool IsRunning();

private:
  pid_t id_;
  bool isOver_ = false;
};

struct DeploymentOptions
{
  std::size_t entries = 2;
  std::size_t workers = 2;
  std::int64_t routeTimeoutMs = 1500;
};

/**
 * A small deployment on loopback addresses: the project's programs, started
 * with the commands of the deploy file, the store and the runners.
 */
class Deployment
{
public:
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";
  static constexpr const char* kService = "huvo11a";

  Deployment(DeploymentOptions aOptions, Record& aRecord);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /**
   * Waits until every entry is ready and has run a job on all runners. Returns
   * false if that takes too long.
   */
  bool WaitUntilReady();

  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  /** Starts a life of the runner, with the trouble that aOptions has. */
  void StartRunner(std::size_t aIndex, RunnerOptions aOptions = {});
  void EndRunner(std::size_t aIndex) { runners_[aIndex].reset(); }
  Process& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  Process& Agent(std::size_t aIndex) { return *agents_[aIndex]; }
  Runner& RunnerAt(std::size_t aIndex) { return *runners_[aIndex]; }
  /** The runner with the most tasks at work. */
  std::size_t BusiestRunner() const;
  /**
   * Starts a runner of a service that the operators don't name, on the machine
   * of runner aIndex. It reports to the same agent.
   */
  void StartForeignRunner(std::size_t aIndex);
  /** Where the agent takes reports. */
  Address Control(std::size_t aIndex) const;
  Trouble& RunnersTrouble() { return *trouble_; }
  /** On the runner's way to its agent. */
  Proxy& ReportProxy(std::size_t aIndex) { return *reportProxies_[aIndex]; }
  /** On the clients' way to the entry. */
  Proxy& FrontProxy(std::size_t aIndex) { return *frontProxies_[aIndex]; }

  HttpRequest JobRequest(const std::string& aMethod,
                         const std::string& aId,
                         std::size_t aTasks,
                         std::int64_t aWorkMs,
                         std::int64_t aDeadlineMs) const;
  /** The address at which clients reach the entry. */
  Address Front(std::size_t aEntry) const;
  Address Readiness(std::size_t aEntry) const;
  void Configure(std::uint64_t aVersion);

private:
  Address At(std::size_t aHost, int aPort) const;
  bool FindSubnet();
  std::string ZoneOf(std::size_t aIndex) const;
  static std::string MachineOf(std::size_t aIndex);
  /** Whether each runner has started a task since then. */
  bool HaveAllRun(std::int64_t aSinceMs) const;

  DeploymentOptions options_;
  Record& record_;
  std::string directory_;
  int subnet_ = 0;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Proxy>> reportProxies_;
  std::vector<std::unique_ptr<Proxy>> frontProxies_;
  std::shared_ptr<Trouble> trouble_ = std::make_shared<Trouble>();
  std::vector<std::unique_ptr<Runner>> runners_;
  std::unique_ptr<Runner> foreignRunner_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

}

#endif
