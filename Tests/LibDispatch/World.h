#ifndef Tests_LibDispatch_World_h
#define Tests_LibDispatch_World_h

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
 * The judge: a naive account of everything that started and was answered. It
 * knows all and forgets nothing, and says what must never happen.
 */
struct Judge
{
  std::map<protocol::TaskKey, int> starts;
  std::map<std::string, MonotonicTime> closedSince;
  std::map<SubmissionId, std::size_t> sizes;
  std::map<WaiterId, dispatch::Answer> answers;
  std::vector<std::string> violations;

  void OnStart(const protocol::Start& aTask,
               const std::string& aDomain,
               MonotonicTime aNow);
  void OnAnswer(WaiterId aWaiter, const dispatch::Answer& aAnswer);
  /** At the end: what was said not to have run has not. */
  void CheckNotRun();
};

/**
 * Entries, agents and a table on one clock, with links that keep order, lose
 * what is on the way when they are cut, and processes that die, stop and
 * wake. Everything happens when a test says so.
 */
class World
{
public:
  World(std::size_t aEntries, std::size_t aAgents);
  ~World();

  /** Lets time pass in steps of 50 ms. */
  void Advance(Milliseconds aTime);
  /** Submits under that id; the same id is the same content. */
  WaiterId Submit(std::size_t aEntry, int aId, std::size_t aTasks);
  void Cancel(std::size_t aEntry, int aId);
  void CutLink(std::size_t aEntry, std::size_t aAgent);
  void KillEntry(std::size_t aEntry);
  void PauseEntry(std::size_t aEntry);
  void WakeEntry(std::size_t aEntry);
  void KillAgent(std::size_t aAgent);
  void PauseAgent(std::size_t aAgent);
  void WakeAgent(std::size_t aAgent);
  /** Patches the table itself, as another entry would. */
  void SetDomain(std::size_t aAgent, bool aClosed);
  InMemoryTable& Table() { return table_; }
  Judge& TheJudge() { return judge_; }
  /** Wakes all, opens all, and lets everything come to its end. */
  void Heal();
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
  Judge judge_;
  std::vector<std::unique_ptr<struct SimEntry>> entries_;
  std::vector<std::unique_ptr<struct SimAgent>> agents_;
  std::map<std::pair<std::size_t, std::size_t>, Channel> channels_;
  std::uint64_t nextWaiter_ = 1;
  std::uint64_t nextIncarnation_ = 100;
};

}

#endif
