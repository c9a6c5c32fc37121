#ifndef review_Runner_h
#define review_Runner_h

#include "review/Http.h"
#include "review/Record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct RunnerOptions
{
  std::string id;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  /** In thousandths of a core. */
  int cpu = 8000;
  Address address;
  /** The control address of the agent on the runner's machine. */
  Address agent;
};

/** A run of a task, as the runner has seen it. */
struct RunRecord
{
  /** ID.K.STEP.INDEX */
  std::string task;
  std::uint32_t run = 0;
  std::string runner;
  std::string zone;
  std::int64_t startedMs = 0;
  /** 0 while it runs. */
  std::int64_t endedMs = 0;
  std::string how;
};

/**
 * A runner of the platform, with leases, fencing and lists of runs. The spec of
 * a task is its run time in milliseconds. A task with the spec "crash" brings
 * the runner down when it starts.
 */
class Runner
{
public:
  Runner(RunnerOptions aOptions, Record& aRecord);
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  bool Open();
  /**
   * Drops all runs and connections. The runner starts again under the same id
   * after aDownMs.
   */
  void Crash(std::int64_t aDownMs);
  std::vector<RunRecord> Runs();
  /** The report that the runner would send next. */
  nlohmann::json NextReport();

private:
  using Json = nlohmann::json;
  using RunKey = std::pair<std::string, std::uint32_t>;
  struct Active
  {
    std::int64_t startedMs = 0;
    std::int64_t lastsMs = 0;
    std::int64_t stopAtMs = 0;
    std::size_t record = 0;
  };

  HttpReply OnRequest(const HttpRequest& aRequest);
  HttpReply OnStart(const Json& aBody);
  HttpReply OnStop(const Json& aBody);
  HttpReply OnHold(const Json& aBody, std::unique_lock<std::mutex>& aLock);
  /** Returns false if the call's token is lower than one seen before. */
  bool Fence(const Json& aBody);
  void ExtendLease(const Json& aBody);
  Json CommonFields() const;
  Json MakeReport(std::uint64_t aSequence) const;
  HttpReply Conflict(const char* aReason) const;
  std::int64_t ClockMs() const { return NowMs() - bootMs_; }
  bool HasEndAfter(std::uint64_t aNumber) const;
  void End(const RunKey& aKey, const char* aHow);
  void BeginLife();
  /** Ends runs that are due or whose lease has expired, and reports. */
  void Work();
  void SendHeartbeat();

  RunnerOptions options_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool isUp_ = false;
  std::int64_t upAgainAtMs_ = 0;
  std::int64_t born_ = 0;
  std::int64_t bootMs_ = 0;
  std::int64_t leaseUntilClockMs_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t lastEnd_ = 0;
  std::map<RunKey, Active> active_;
  /** The highest run of each task that was stopped or has ended. */
  std::map<std::string, std::uint32_t> highestEnded_;
  std::map<std::uint64_t, Json> finished_;
  std::vector<RunRecord> records_;
  std::atomic<bool> isClosing_{ false };
  std::int64_t nextHeartbeatMs_ = 0;
  HttpServer server_;
  std::thread worker_;
  std::thread reporter_;
};

}

#endif
