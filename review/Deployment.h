#ifndef review_Deployment_h
#define review_Deployment_h

#include "review/Http.h"
#include "review/Proxy.h"
#include "review/Record.h"
#include "review/Runner.h"
#include "review/Store.h"

#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/** A process that is killed with this object. */
class Process
{
public:
  Process(const std::vector<std::string>& aCommand, const std::string& aLog);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int aNumber) const;
  /** Kills the process and waits for its end. */
  void Kill();

private:
  pid_t pid_ = -1;
};

struct DeploymentOptions
{
  std::size_t entries = 2;
  /** The labels of each runner. */
  std::vector<std::vector<std::string>> runners;
  /** Puts a proxy between all processes and the store. */
  bool hasStoreProxy = false;
};

struct JobOptions
{
  std::string id;
  int tasks = 1;
  /** Run time in milliseconds, or "crash". */
  std::string spec = "100";
  int estimateMs = 100;
  int cpu = 1000;
  std::string requiredLabel;
  /** How long the client waits. */
  std::int64_t deadlineMs = 1500;
};

/** The programs of the deploy file, on loopback addresses, with stand-ins. */
class Deployment
{
public:
  Deployment(DeploymentOptions aOptions, Record& aRecord);
  ~Deployment();

  /**
   * Starts everything and waits until each entry completes a job. Returns false
   * if that takes too long.
   */
  bool Start();

  Process& Entry(std::size_t aIndex) { return *entries_[aIndex]; }
  Process& Agent(std::size_t aIndex) { return *agents_[aIndex]; }
  Runner& RunnerAt(std::size_t aIndex) { return *runners_[aIndex]; }
  Proxy& StoreProxy() { return *storeProxy_; }

  /**
   * Writes a desired state whose queues have these path prefixes, as the
   * operator does. The return is the acknowledgement.
   */
  void Configure(int aVersion, const std::vector<std::string>& aPrefixes);
  /** Asks that a zone gets no more work. The return is the acknowledgement. */
  void Evacuate(const std::string& aZone);
  /** The control address of an agent, to which its runner reports. */
  Address AgentControl(std::size_t aIndex) const;
  /** Submits a job to the queue "/q/" of an entry, once. */
  CallResult Submit(std::size_t aEntry, const JobOptions& aJob);
  CallResult Call(std::size_t aEntry,
                  const std::string& aMethod,
                  const std::string& aPath,
                  std::int64_t aTimeoutMs);
  /** Returns the runs of all runners. */
  std::vector<RunRecord> Runs();
  static std::string JobId(std::uint64_t aNumber);

private:
  Address At(std::size_t aHost, int aPort) const;
  /** Looks for loopback addresses on which the ports are free. */
  bool ChooseNetwork();
  std::string WriteSettings(const std::string& aName,
                            nlohmann::json aSettings) const;
  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  bool WaitUntilReady();

  DeploymentOptions options_;
  Record& record_;
  std::string directory_;
  int network_ = 0;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Proxy> storeProxy_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<std::unique_ptr<Process>> agents_;
  std::vector<std::unique_ptr<Process>> entries_;
};

/** Whether the case is to run without its disruption (TROUBLE=0). */
bool
HasTrouble();

inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

}

#endif
