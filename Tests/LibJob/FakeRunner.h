#ifndef Tests_LibJob_FakeRunner_h
#define Tests_LibJob_FakeRunner_h

#include "LibCore/Time.h"
#include "LibJob/Resources.h"
#include "LibJob/RunnerCalls.h"
#include "LibJob/RunnerReport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::tests {

/** Receives the starts and ends of runs, for a test's invariant checks. */
struct RunnerObserver
{
  std::function<void(const job::RunKey&)> onStarted;
  std::function<void(const job::RunKey&)> onStopped;
};

/**
 * A runner that behaves as the platform's documentation specifies: it starts
 * every run it is told to, even beyond its capacity, and keeps a lease, a
 * fencing token and a list of ends.
 */
class FakeRunner
{
public:
  FakeRunner(job::RunnerReport aReport, double aSlowness, RunnerObserver);

  /** Run time of a task on a runner of slowness 1; 100 ms by default. */
  std::function<Milliseconds(const job::RunKey&)> runTimeOf;
  /** Resources that a started task needs. */
  std::function<job::Resources(const job::RunKey&)> demandOf;
  std::function<bool(const job::RunKey&)> failsTask;
  bool makesNoProgress = false;

  job::StartResult Start(const job::StartCall& aCall, MonotonicTime aNow);
  job::StopResult Stop(const job::StopCall& aCall, MonotonicTime aNow);
  /** Whether a run has ended that the caller has not acknowledged. */
  bool HasUnseenEnds(const job::HoldCall& aCall) const;
  job::HoldAnswer Hold(const job::HoldCall& aCall, MonotonicTime aNow);

  /** Ends all runs that are due. */
  void Advance(MonotonicTime aNow);
  /** Drops all state and begins a new incarnation at the same address. */
  void Crash(MonotonicTime aNow);
  job::RunnerReport Report(MonotonicTime aNow);
  void SetState(job::RunnerState aState) { report_.state = aState; }
  /** Runs beyond a smaller capacity go on. */
  void SetCapacity(const job::Resources& aCapacity)
  {
    report_.capacity = aCapacity;
  }
  void SetSlowness(double aSlowness) { slowness_ = aSlowness; }
  /** aRate: the runner's clock relative to true time; 0.98 is 2% slow. */
  void SetClockRate(double aRate) { clockRate_ = aRate; }

  const job::Resources& Used() const { return used_; }
  const job::Resources& Capacity() const { return report_.capacity; }
  std::size_t Running() const { return running_.size(); }
  bool IsRunning(const job::RunKey& aKey) const
  {
    return running_.contains(aKey);
  }
  const job::RunnerReport& Identity() const { return report_; }

private:
  struct Work
  {
    MonotonicTime startedAt;
    MonotonicTime endsAt;
    job::Resources demand;
  };
  bool AcceptToken(std::uint64_t aToken);
  void ExtendLease(std::int64_t aUntilMs);
  std::int64_t ClockMs(MonotonicTime aNow) const;
  void End(const job::RunKey& aKey, job::EndKind aKind);

  job::RunnerReport report_;
  double slowness_;
  double clockRate_ = 1;
  RunnerObserver observer_;
  MonotonicTime startedAt_;
  std::uint64_t token_ = 0;
  std::int64_t leaseUntilMs_ = 0;
  std::map<job::RunKey, Work> running_;
  std::vector<job::FinishedRow> finished_;
  std::uint64_t ends_ = 0;
  std::map<std::pair<SubmissionId, std::uint32_t>, std::uint32_t> lastRun_;
  job::Resources used_;
};

}

#endif
