#ifndef Tests_StandIns_RunnerStandIn_h
#define Tests_StandIns_RunnerStandIn_h

#include "Tests/LibJob/FakeRunner.h"
#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::service {
class EventLoop;
class LoopHttpClient;
}

namespace vanillaworks::standins {

/** Exit status of a runner that ended in the mode "ending". */
inline constexpr int kEndedAtStart = 86;

struct RunnerStandInOptions
{
  std::string listenAddress;
  /** "host:port" for the test, which is served even while the runner is down.
   */
  std::string controlAddress;
  /** "host:port" of the agent that receives the runner's reports. */
  std::string agentAddress;
  std::string id;
  std::string domain;
  /** Capacity in thousandths of a core. */
  std::int64_t cpu = 8000;
  /** Factor by which the run time of each task is multiplied. */
  double slowness = 1;
};

/**
 * A runner that speaks the platform's protocol. The spec of a task is its run
 * time in milliseconds. GET /starts at the control address lists when runs
 * started and ended, in microseconds of the host's monotonic clock, which of
 * them crashed the runner, and whether a start ever exceeded the capacity.
 * POST /control with {"capacity"} changes the capacity, in thousandths of a
 * core, with the next report; a smaller one counts kRoomGrace later. With
 * {"crashTask"} each start of that task crashes the runner: it ends all runs,
 * refuses connections for kDownTime and begins a new incarnation. With {"mode"}
 * it sets the mode:
 * - "up" is normal operation.
 * - "silent" ignores calls and sends no reports.
 * - "failing" makes all tasks fail.
 * - "draining" reports that the runner is draining.
 * - "losing" starts tasks, but sends a response to every third start only.
 * - "ending" ends the process as soon as it has started a task, with the exit
 *   status kEndedAtStart.
 * - "crashing" drops all runs, begins a new incarnation and goes on normally.
 * - "leaving" announces that it shuts down, ends when it is answered, and
 * begins a new incarnation after kDownTime.
 * - "leaving_unheard" does the same, but the answer is lost: it ends
 *   kUnheardStay after the announcement.
 */
class RunnerStandIn
{
public:
  /** The platform's `contactMs` and one report. */
  static constexpr Milliseconds kRoomGrace{ 3500 };
  static constexpr Milliseconds kDownTime{ 2000 };
  static constexpr Milliseconds kUnheardStay{ 2000 };

  RunnerStandIn(service::EventLoop& aLoop, RunnerStandInOptions aOptions);
  ~RunnerStandIn();

  bool IsListening() const
  {
    return server_->IsListening() && controlServer_->IsListening();
  }

private:
  using Json = nlohmann::json;
  using ExchangePtr = std::shared_ptr<Exchange>;
  struct RunRecord
  {
    job::RunKey key;
    std::int64_t startedAtUs = 0;
    /** 0 while the task runs. */
    std::int64_t endedAtUs = 0;
    bool crashedRunner = false;
  };
  /** A capacity that a smaller one has replaced; it still counts until then. */
  struct FormerCapacity
  {
    job::Resources capacity;
    MonotonicTime countsUntil;
  };

  void Listen();
  void RecordStart(const job::RunKey& aKey);
  void RecordEnd(const job::RunKey& aKey);
  void CrashUnder(const job::RunKey& aKey);
  void SetMode(const std::string& aMode);
  void Leave();
  /** Ends all runs and refuses connections until the next incarnation. */
  void GoDown();
  void ApplyCapacity();
  void OnControl(const ExchangePtr& aExchange);

  void Report();
  void OnRequest(const ExchangePtr& aExchange);
  void OnStart(const ExchangePtr& aExchange, const Json& aBody);
  void OnStop(const ExchangePtr& aExchange, const Json& aBody);
  void OnHold(const ExchangePtr& aExchange, const Json& aBody);
  /**
   * Responds as soon as a run has ended that the caller has not seen, and at
   * aDeadline at the latest.
   */
  void CompleteHold(const ExchangePtr& aExchange,
                    const job::HoldCall& aCall,
                    MonotonicTime aDeadline);
  void RespondWithStarts(const ExchangePtr& aExchange) const;
  job::RunnerTarget ParseTarget(const Json& aBody) const;
  /** Fields that each response to a call of the agent has. */
  Json CommonFields();

  service::EventLoop& loop_;
  RunnerStandInOptions options_;
  tests::FakeRunner runner_;
  /** Null while the runner is down after a crash. */
  std::unique_ptr<StandInServer> server_;
  std::unique_ptr<StandInServer> controlServer_;
  std::unique_ptr<service::LoopHttpClient> client_;
  std::string mode_ = "up";
  /** Start calls received in the mode "losing". */
  std::uint64_t losingModeStarts_ = 0;
  std::map<job::RunKey, Milliseconds> runTimes_;
  std::vector<RunRecord> records_;
  std::set<std::string> crashTasks_;
  /** Requests that an earlier life received can't be answered. */
  std::uint64_t crashCount_ = 0;
  std::vector<FormerCapacity> formerCapacities_;
  bool hasExceededCapacity_ = false;
};

}

#endif
