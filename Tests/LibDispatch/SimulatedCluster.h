#ifndef Tests_LibDispatch_SimulatedCluster_h
#define Tests_LibDispatch_SimulatedCluster_h

#include "LibDispatch/AgentCore.h"
#include "LibDispatch/Dispatcher.h"
#include "LibPlatform/OperationBatcher.h"
#include "Tests/LibPlatform/InMemoryTable.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::test {

/**
 * Records all starts and answers of the whole simulation and lists violations
 * of the invariants.
 */
struct InvariantChecker
{
  std::map<protocol::TaskKey, int> starts;
  std::map<std::string, MonotonicTime> closedSince;
  std::map<SubmissionId, std::size_t> taskCounts;
  std::map<WaiterId, dispatch::Answer> answers;
  std::vector<std::string> violations;

  void OnStart(const protocol::Start& aTask,
               const std::string& aDomain,
               MonotonicTime aNow);
  void OnAnswer(WaiterId aWaiter, const dispatch::Answer& aAnswer);
  /** Checks that no task answered as not run has started; call at the end. */
  void CheckNotRun();
};

/**
 * A deterministic simulation of entries, agents and a table on one clock. Links
 * keep the order of messages and lose those in transit when they are cut;
 * processes can be killed, paused and resumed. Every fault is triggered by the
 * test.
 */
class SimulatedCluster
{
public:
  SimulatedCluster(std::size_t aEntries, std::size_t aAgents);
  ~SimulatedCluster();

  /** Advances the clock by aTime in steps of 50 ms. */
  void Advance(Milliseconds aTime);
  /** Submits under an id; the same id always has the same digest. */
  WaiterId Submit(std::size_t aEntry, int aId, std::size_t aTasks);
  void Cancel(std::size_t aEntry, int aId);
  void CutLink(std::size_t aEntry, std::size_t aAgent);
  void KillEntry(std::size_t aEntry);
  void PauseEntry(std::size_t aEntry);
  void ResumeEntry(std::size_t aEntry);
  void KillAgent(std::size_t aAgent);
  void PauseAgent(std::size_t aAgent);
  void ResumeAgent(std::size_t aAgent);
  /** Opens or closes a domain by a patch in the table, like another entry. */
  void SetDomain(std::size_t aAgent, bool aClosed);
  InMemoryTable& Table() { return table_; }
  InvariantChecker& Checker() { return checker_; }
  /** Resumes all processes, opens all domains and runs for 60 s. */
  void Recover();
  bool IsPaused(std::size_t aEntry) const;
  MonotonicTime Now() const { return now_; }

private:
  friend struct SimEntry;
  friend struct SimAgent;
  struct Channel
  {
    bool up = false;
    std::deque<protocol::Frame> toAgent;
    std::deque<protocol::Frame> toEntry;
  };

  void Step();
  void Deliver(std::size_t aEntry, std::size_t aAgent);
  Channel& ChannelOf(std::size_t aEntry, std::size_t aAgent);

  MonotonicTime now_{ std::chrono::seconds(1000) };
  WallTime wall_{ std::chrono::seconds(5000) };
  InMemoryTable table_;
  InMemoryObjectStore objects_;
  InvariantChecker checker_;
  std::vector<std::unique_ptr<struct SimEntry>> entries_;
  std::vector<std::unique_ptr<struct SimAgent>> agents_;
  std::map<std::pair<std::size_t, std::size_t>, Channel> channels_;
  std::uint64_t nextWaiter_ = 1;
  std::uint64_t nextIncarnation_ = 100;
};

}

#endif
