#ifndef Tests_LibJob_SimulatedJobCluster_h
#define Tests_LibJob_SimulatedJobCluster_h

#include "LibJob/JobDispatcher.h"
#include "LibJob/RunSupervisor.h"
#include "Tests/LibJob/FakeRunner.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::tests {

struct JobClusterOptions
{
  std::uint64_t seed = 1;
  int entries = 3;
  int agents = 6;
  /**
   * Capacity per worker in thousandths of a core; a task of these tests needs
   * 1000.
   */
  std::int64_t cpu = 8000;
  /** Share of start, stop and hold calls to runners that get no answer. */
  double lostCalls = 0;
  /**
   * Share of the start calls among these that are carried out seconds later.
   */
  double lateCalls = 0;
  /** Share of the stop and hold calls among them that are carried out so. */
  double lateStopsAndHolds = 0;
  /** Delay from an entry's start until agents connect to it. */
  Milliseconds connectDelay{ 0 };
  /**
   * Minimum interval between an agent's status updates to an entry that it has
   * nothing to report to.
   */
  Milliseconds statusInterval{ 24 };
  /** The runners' clocks relative to true time. */
  double runnerClockRate = 1;
};

struct JobLoad
{
  std::uint32_t tasks = 4;
  Milliseconds work{ 100 };
  std::uint32_t priority = 0;
  double stretch = 1.6;
  std::int64_t targetMs = 60;
  std::uint32_t maxAttempts = 2;
  /** Time from the first attempt until the caller gives up. */
  Milliseconds callerTimeout{ 1500 };
};

/** The final result of a caller. */
struct Outcome
{
  job::JobState state = job::JobState::GivenUp;
  bool answered = false;
  Milliseconds elapsed{ 0 };
  bool inTime = false;
};

/**
 * Simulates entries and agents, with the real decision code, and fake runners
 * on one virtual clock, with callers that retry. Checks invariants on every
 * start and end of a run.
 */
class SimulatedJobCluster
{
public:
  explicit SimulatedJobCluster(JobClusterOptions aOptions);
  ~SimulatedJobCluster();

  std::string Submit(const JobLoad& aLoad);
  void Run(Milliseconds aFor);
  MonotonicTime Now() const { return now_; }
  void Schedule(Milliseconds aDelay, std::function<void()> aAction);

  /** A new process starts after aDownFor. */
  void KillEntry(int aEntry, Milliseconds aDownFor = Milliseconds{ 0 });
  void KillAgent(int aAgent);
  /** Stops the agent's process for aFor; its runner goes on. */
  void FreezeAgent(int aAgent, Milliseconds aFor);
  /** Stops the entry's process for aFor; its sockets stay open. */
  void FreezeEntry(int aEntry, Milliseconds aFor);
  /**
   * The callers' connections to the entry break. They send their jobs again
   * after their usual time.
   */
  void LoseCallers(int aEntry);
  /** The agent's stop calls get no answer for aFor. */
  void LoseStops(int aAgent, Milliseconds aFor);
  /** The agent's calls get no answer and are lost for aFor. */
  void SilenceRunner(int aAgent, Milliseconds aFor);
  void CrashRunner(int aAgent) { Runner(aAgent).Crash(now_); }
  /** The runner's next incarnation is there after aFor. */
  void TakeDownRunner(int aAgent, Milliseconds aFor);
  /**
   * The runner announces that it shuts down. It ends when it is answered, or
   * after aStays if that is not 0, since the answer is lost then. Its next
   * incarnation follows.
   */
  void LeaveRunner(int aAgent, Milliseconds aStays);
  /** Tasks that take down each runner soon after it has started them. */
  std::function<bool(const job::RunKey&)> crashesRunner;
  /** How many runners a task of the job has taken down. */
  std::size_t CrashesUnder(const std::string& aJob) const;
  /** The entry at which the job's caller waits; -1 if it does not. */
  int EntryServing(const std::string& aJob) const;
  /**
   * Interrupts the link: frames are held until Recover() or lost when the link
   * closes.
   */
  void Cut(int aEntry, int aAgent);
  /** Interrupts the link and closes it at both ends. */
  void CutWithReset(int aEntry, int aAgent);
  void Recover(int aEntry, int aAgent);
  void Close(int aDomain);
  void Open(int aDomain);

  FakeRunner& Runner(int aAgent);
  const std::map<std::string, Outcome>& Outcomes() const { return outcomes_; }
  /** Violated invariants, one entry per occurrence; tests expect none. */
  const std::vector<std::string>& Violations() const { return violations_; }
  std::size_t Starts() const { return starts_; }
  /** Share of all jobs that were completed within their goal. */
  double ServedInTime() const;
  std::size_t Count(job::JobState aState) const;
  /** Share of rejected jobs whose caller got the rejection within aTime. */
  double RejectedWithin(Milliseconds aTime) const;

private:
  struct EntryNode;
  struct AgentNode;
  struct ScheduledEvent
  {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const ScheduledEvent& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };
  struct Caller
  {
    JobLoad load;
    MonotonicTime firstSent;
    int attempts = 0;
    bool onlyRejections = true;
    bool waiting = false;
  };

  void Tick();
  void TickAgent(AgentNode& aNode);
  EntryNode& PickRunningEntry();
  void Send(Caller& aCaller, const std::string& aId);
  void OnAnswer(int aEntry, WaiterId aWaiter, const job::JobAnswer& aAnswer);
  void ScheduleRetry(const std::string& aId);
  void Link(int aEntry, int aAgent);
  void Unlink(int aEntry, int aAgent);
  void ToAgent(int aEntry, int aAgent, protocol::Message aMessage);
  void ToEntry(int aAgent, int aEntry, protocol::Message aMessage);
  void Deliver(int aEntry, int aAgent, std::function<void()> aAction);
  void StartAgent(int aAgent);
  bool IsFrozen(int aAgent) const;
  /** Runs aAction now, or once the agent's process goes on. */
  void WhenAwake(int aAgent, std::function<void()> aAction);
  /** The same for an entry's process; dropped if a new process has begun. */
  void WhenEntryAwake(int aEntry, std::function<void()> aAction);
  void OnStarted(int aAgent, const job::RunKey& aKey);
  void OnStopped(const job::RunKey& aKey);
  void EndLeavingRunner(int aAgent);
  void CrashUnder(int aAgent, const job::RunKey& aKey);
  void PublishControl();
  bool HappensWith(double aShare);
  void SendToRunner(std::function<void()> aAction,
                    std::function<void()> aOnLost);

  JobClusterOptions options_;
  std::mt19937_64 random_;
  MonotonicTime now_{ std::chrono::hours(1) };
  std::uint64_t order_ = 0;
  std::vector<ScheduledEvent> events_;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<AgentNode>> agents_;
  std::set<std::pair<int, int>> cuts_;
  std::map<std::pair<int, int>, std::vector<std::function<void()>>> heldFrames_;
  std::map<std::pair<int, int>, std::uint64_t> linkGenerations_;
  std::map<std::string, Caller> callers_;
  std::map<std::string, Outcome> outcomes_;
  std::map<std::pair<SubmissionId, std::uint32_t>, int> running_;
  std::set<SubmissionId> startedJobs_;
  struct CrashCount
  {
    std::size_t crashes = 0;
    std::size_t startsAfterThree = 0;
  };
  std::map<std::pair<SubmissionId, std::uint32_t>, CrashCount> crashCounts_;
  std::map<std::string, MonotonicTime> closedAt_;
  std::uint64_t revision_ = 0;
  std::uint64_t nextId_ = 1;
  std::uint64_t nextWaiter_ = 1;
  std::size_t starts_ = 0;
  std::vector<std::string> violations_;
};

}

#endif
