#ifndef Tests_LibJob_JobWorld_h
#define Tests_LibJob_JobWorld_h

#include "LibJob/JobDispatcher.h"
#include "LibJob/RunKeeper.h"
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

struct WorldOptions
{
  std::uint64_t seed = 1;
  int entries = 3;
  int agents = 6;
  /** Per worker, thousandths of a core; a task of these tests takes 1000. */
  std::int64_t cpu = 8000;
  /** Share of calls to runners that get no answer. */
  double lostCalls = 0;
  /** Of these, the share that is carried out seconds later. */
  double lateCalls = 0;
  /** From an entry's start until agents link to it. */
  Milliseconds linksAfter{ 0 };
};

struct JobLoad
{
  std::uint32_t tasks = 4;
  Milliseconds work{ 100 };
  std::uint32_t priority = 0;
  double stretch = 1.6;
  std::int64_t targetMs = 60;
  std::uint32_t maxAttempts = 2;
  Milliseconds patience{ 1500 };
};

/** What a caller got in the end. */
struct Outcome
{
  job::JobState state = job::JobState::GivenUp;
  bool answered = false;
  Milliseconds elapsed{ 0 };
  bool inTime = false;
};

/**
 * Entries, agents and runners of the real decision code on one virtual clock,
 * with callers that ask again. A judge sees what runners start and stop.
 */
class JobWorld
{
public:
  explicit JobWorld(WorldOptions aOptions);
  ~JobWorld();

  std::string Submit(const JobLoad& aLoad);
  void Run(Milliseconds aFor);
  MonotonicTime Now() const { return now_; }
  void At(Milliseconds aIn, std::function<void()> aWhat);

  void KillEntry(int aEntry);
  void KillAgent(int aAgent);
  void CrashRunner(int aAgent) { Runner(aAgent).Crash(now_); }
  /** Frames between them wait for Heal(), or are lost with their link. */
  void Cut(int aEntry, int aAgent);
  void Heal(int aEntry, int aAgent);
  void Close(int aDomain);
  void Open(int aDomain);

  FakeRunner& Runner(int aAgent);
  const std::map<std::string, Outcome>& Outcomes() const { return outcomes_; }
  /** Broken promises, each told once; empty is what a test wants. */
  const std::vector<std::string>& Broken() const { return broken_; }
  std::size_t Starts() const { return starts_; }
  /** Share of jobs that were completed within their goal. */
  double ServedInTime() const;
  std::size_t Count(job::JobState aState) const;
  /** Share of the rejected that were told so within that time. */
  double RejectedWithin(Milliseconds aTime) const;

private:
  struct EntryNode;
  struct AgentNode;
  struct Timed
  {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator>(const Timed& aOther) const
    {
      return std::tie(at, order) > std::tie(aOther.at, aOther.order);
    }
  };
  struct Caller
  {
    JobLoad load;
    MonotonicTime firstSent;
    int attempts = 0;
    bool rejectedAll = true;
    bool waiting = false;
  };

  void Tick();
  void Send(Caller& aCaller, const std::string& aId);
  void OnAnswer(int aEntry, WaiterId aWaiter, const job::JobAnswer& aAnswer);
  void AskAgain(const std::string& aId);
  void Link(int aEntry, int aAgent);
  void Unlink(int aEntry, int aAgent);
  void ToAgent(int aEntry, int aAgent, protocol::Message aMessage);
  void ToEntry(int aAgent, int aEntry, protocol::Message aMessage);
  void Carry(int aEntry, int aAgent, std::function<void()> aWhat);
  void StartAgent(int aAgent);
  void OnStarted(int aAgent, const job::RunKey& aKey);
  void OnStopped(const job::RunKey& aKey);
  void TellControl();
  bool Chance(double aShare);
  void CallRunner(std::function<void()> aWhat, std::function<void()> aLost);

  WorldOptions options_;
  std::mt19937_64 random_;
  MonotonicTime now_{ std::chrono::hours(1) };
  std::uint64_t order_ = 0;
  std::vector<Timed> events_;
  std::vector<std::unique_ptr<EntryNode>> entries_;
  std::vector<std::unique_ptr<AgentNode>> agents_;
  std::set<std::pair<int, int>> cuts_;
  std::map<std::pair<int, int>, std::vector<std::function<void()>>> held_;
  std::map<std::pair<int, int>, std::uint64_t> linkLife_;
  std::map<std::string, Caller> callers_;
  std::map<std::string, Outcome> outcomes_;
  std::map<std::pair<SubmissionId, std::uint32_t>, int> running_;
  std::set<SubmissionId> everStarted_;
  std::map<std::string, MonotonicTime> closedAt_;
  std::uint64_t revision_ = 0;
  std::uint64_t nextId_ = 1;
  std::uint64_t nextWaiter_ = 1;
  std::size_t starts_ = 0;
  std::vector<std::string> broken_;
};

}

#endif
