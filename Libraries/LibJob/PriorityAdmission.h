#ifndef Libraries_LibJob_PriorityAdmission_h
#define Libraries_LibJob_PriorityAdmission_h

#include "LibJob/AdmissionPolicy.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaworks::job {

/**
 * Keeps queues at workers shorter than what urgent jobs can wait.
 *
 * Used for load above the capacity on routes of different priority. By their
 * goals alone, jobs with long tasks can wait longest, so that they fill the
 * queues and urgent jobs with short goals are rejected. Here the tasks of the
 * most urgent jobs may queue for half of the time that these can wait, since
 * several entries fill a queue that each sees with a delay; those of the next
 * priority for a quarter, and so on. A queue that grows rejects the least
 * urgent jobs first. Nothing is limited while most work is admitted,
 * since a shorter queue then only leaves workers idle. A priority that has
 * received less than its guaranteed share of the admitted work may queue for as
 * long as its goal allows, so that none is starved. Each entry decides by the
 * jobs that it receives itself; nothing is exchanged. Not thread safe.
 */
class PriorityAdmission final : public AdmissionPolicy
{
public:
  /**
   * aGuaranteedShare: the part of the admitted work, 0 to 1, that is guaranteed
   * to the priorities which ask for it, in equal parts.
   */
  explicit PriorityAdmission(double aGuaranteedShare)
    : guaranteedShare_(aGuaranteedShare)
  {
  }

  void OnAsked(const JobRequest& aJob, MonotonicTime aNow) override;
  void OnAdmitted(const JobRequest& aJob, MonotonicTime aNow) override;
  std::optional<Milliseconds> MaxStartDelay(const JobRequest& aJob,
                                            MonotonicTime aNow) const override;

private:
  /** An exponentially decaying sum. */
  class DecayingSum
  {
  public:
    void Add(double aValue, MonotonicTime aNow);
    double Value(MonotonicTime aNow) const;

  private:
    double value_ = 0;
    MonotonicTime updatedAt_;
  };

  struct Level
  {
    /** When a job of this priority asked for admission last. */
    MonotonicTime askedAt;
    /** Processor time, in core milliseconds. */
    DecayingSum asked;
    DecayingSum admitted;
    /** Mean time for which a job can wait, by its goal. */
    double waitMs = 0;
  };
  /** By priority; 0 is the most urgent. */
  using Levels = std::map<std::uint32_t, Level>;

  static double Work(const JobRequest& aJob);
  /** Whether jobs of the level asked for admission lately. */
  static bool IsActive(const Level& aLevel, MonotonicTime aNow);
  static std::size_t CountActive(const Levels& aLevels, MonotonicTime aNow);
  /** Whether much of the work that was asked for lately was not admitted. */
  static bool IsOverloaded(const Levels& aLevels, MonotonicTime aNow);
  /** The admitted work of all levels, in core milliseconds. */
  static double Admitted(const Levels& aLevels, MonotonicTime aNow);
  /** What each active level is guaranteed, in core milliseconds. */
  double GuaranteedWork(const Levels& aLevels, MonotonicTime aNow) const;
  /** The limit halves with each active level up to aPriority. */
  static double QueueLimitMs(const Levels& aLevels,
                             std::uint32_t aPriority,
                             MonotonicTime aNow);

  double guaranteedShare_;
  /** By service, since only routes of one service compete. */
  std::map<std::string, Levels> services_;
};

}

#endif
