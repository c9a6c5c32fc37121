#ifndef review_Deployment_3_h
#define review_Deployment_3_h

#include "Cut-3.h"
#include "Platform-3.h"

#include <sys/types.h>

namespace review {

struct DeploymentOptions3
{
  std::size_t entries = 4;
  std::size_t agents = 4;
  /** The latency target and the time-out of the queue. */
  std::int64_t targetLatencyMs = 60;
  std::int64_t timeoutMs = 1500;
  /** Whether there is a queue at /tally/recon/, besides the one at /tally/. */
  bool hasInnerQueue = false;
  /** Agents reach this entry through a Cut3; -1 for none. */
  int cutEntry = -1;
};

/**
 * A small deployment: the project's programs as processes, started with the
 * commands of the deploy file from its folder, and the platform's store and
 * runners in this process. Not thread safe.
 */
class Deployment3
{
public:
  /** aRecord: the file to which all that happens is written. */
  Deployment3(DeploymentOptions3 aOptions, const std::string& aRecord);
  ~Deployment3();

  /** Returns false if the entries aren't ready within 30 s. */
  bool WaitUntilReady();

  void StartEntry(std::size_t aIndex);
  void StartAgent(std::size_t aIndex);
  /** Sends the signal to all processes of the project and awaits their end. */
  void KillAll();
  /** The agent stands still until ThawAgent(). */
  void FreezeAgent(std::size_t aIndex);
  void ThawAgent(std::size_t aIndex);
  std::size_t CountRunners() const { return runners_.size(); }
  Runner3& Runner(std::size_t aIndex) { return *runners_[aIndex]; }
  Cut3& Cut() { return *cut_; }
  /** Writes a newer version of the desired state, without the inner queue. */
  void DropInnerQueue();

  std::string Front(std::size_t aEntry) const;
  /** All runs of the job at all runners, by the time of their start. */
  std::vector<RunRecord3> RunsOf(const std::string& aJob);
  /** Writes a line with the time to the record. Thread safe. */
  void Log(const std::string& aText);
  /** Writes the runs of a job to the record. */
  void LogRuns(const std::string& aJob);
  /** A new id of a job. */
  std::string NewJob();

  /** aTaskMs is how long a task runs; aEstimateMs what the client expects. */
  static std::string JobBody(std::size_t aTasks, int aTaskMs, int aEstimateMs);
  static std::string PathOf(const std::string& aJob);

private:
  std::string Address(std::size_t aHost, int aPort) const;
  std::string WriteSettings(const std::string& aName, const Json& aSettings);
  pid_t Launch(const std::string& aProgram,
               const std::string& aSettings,
               const std::string& aName);
  void Configure(int aVersion, bool aHasInnerQueue);
  Json Queue(const std::string& aName, const std::string& aPrefix) const;
  bool IsReady(std::size_t aEntry);

  DeploymentOptions3 options_;
  std::string record_;
  std::mutex recordMutex_;
  std::int64_t startedAt_;
  std::string directory_;
  int subnet_ = 0;
  int claim_ = -1;
  std::uint64_t nextJob_;
  // These have threads that last as long as the process, so they aren't freed.
  Store3* store_ = nullptr;
  Cut3* cut_ = nullptr;
  std::vector<Runner3*> runners_;
  std::vector<pid_t> entries_;
  std::vector<pid_t> agents_;
};

}

#endif
