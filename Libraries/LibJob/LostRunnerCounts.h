#ifndef Libraries_LibJob_LostRunnerCounts_h
#define Libraries_LibJob_LostRunnerCounts_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/LostRuns.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace vanillaworks::job {

/**
 * Decides which tasks crash their runners. Of the tasks that were at work on a
 * runner as it was lost, those that were so most often before are to blame, so
 * that a task which was only beside another one is not. Remembers a loss for a
 * minute, which is longer than a caller tries. Not thread safe.
 */
class LostRunnerCounts
{
public:
  /** Records losses; those that are known already change nothing. */
  void Add(const UpstreamId& aUpstream,
           const protocol::LostRuns& aLost,
           MonotonicTime aNow);
  /** Whether the task was at work on a runner as it was lost. */
  bool IsSuspect(const SubmissionId& aJob, std::uint32_t aTask) const
  {
    return Find(aJob, aTask) != nullptr;
  }
  /**
   * Whether the task must not be started again: it is to blame for enough
   * losses, and at least two of its runners have crashed.
   */
  bool IsGivenUp(const SubmissionId& aJob, std::uint32_t aTask) const;
  /**
   * Whether the task must not be started for now: it would be given up if the
   * runners that are silent had crashed.
   */
  bool IsHeld(const SubmissionId& aJob, std::uint32_t aTask) const;
  /** Whether some task of the job was at work on a runner as it was lost. */
  bool KnowsJob(const SubmissionId& aJob) const
  {
    return records_.contains(aJob);
  }
  /** Forgets old losses; must be called regularly. */
  void OnTick(MonotonicTime aNow);

private:
  using Task = std::pair<SubmissionId, std::uint32_t>;
  /** An incarnation of a runner. */
  using Runner = std::pair<UpstreamId, std::int64_t>;
  /** What one loss says of one task. */
  struct Verdict
  {
    bool isConfirmed = false;
    /** The task was to blame, alone or with others. */
    bool isBlamed = false;
    bool isBlamedAlone = false;
  };
  using Record = std::map<Runner, Verdict>;
  struct Loss
  {
    Task task;
    Runner runner;
    MonotonicTime at;
  };

  static std::size_t Blames(const Record& aRecord);
  /** Whether the losses suffice to give the task up, if all are confirmed. */
  static bool IsOverLimit(const Record& aRecord);
  static bool HasEnoughCrashes(const Record& aRecord);
  const Record* Find(const SubmissionId& aJob, std::uint32_t aTask) const;
  Record& RecordOf(const Task& aTask)
  {
    return records_[aTask.first][aTask.second];
  }
  void AddLossOf(const Runner& aRunner,
                 const std::vector<Task>& aTasks,
                 protocol::LossState aState,
                 MonotonicTime aNow);
  void Retract(const UpstreamId& aUpstream, const protocol::LostRuns& aLost);
  void EraseRecord(const Task& aTask, const Runner& aRunner);
  void ForgetOldest();

  std::map<SubmissionId, std::map<std::uint32_t, Record>> records_;
  /** The losses in the order in which they became known. */
  std::deque<Loss> losses_;
};

}

#endif
