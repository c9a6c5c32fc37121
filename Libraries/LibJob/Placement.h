#ifndef Libraries_LibJob_Placement_h
#define Libraries_LibJob_Placement_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/ControlView.h"
#include "LibJob/JobRequest.h"
#include "LibJob/UpstreamView.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace vanillaworks::job {

/** Why no worker was chosen. */
enum class PlacementFailure : std::uint8_t
{
  /** There are workers, but none can finish the task in time. */
  TooLate,
  NoWorker
};

/** The worker chosen for a task and the times expected there. */
struct PlacementResult
{
  UpstreamId upstream;
  std::size_t candidates = 0;
  Milliseconds startIn{ 0 };
  Milliseconds endIn{ 0 };
  /** The latest start that still lets the task end in time. */
  Milliseconds startWithin{ 0 };
};

/** By when a task must end. */
enum class Urgency : std::uint8_t
{
  /** It must end within the job's goal or start immediately. */
  InTime,
  /** It must end before the caller's deadline, or start immediately. */
  BeforeDeadline
};

/** Input of a placement decision for one task. */
struct PlacementRequest
{
  const JobRequest& job;
  Urgency urgency;
  /** The longest time for which the task may queue at a worker, if limited. */
  std::optional<Milliseconds> maxStartDelay;
  /** Workers on which the task has failed. */
  const std::set<UpstreamId>& avoidedWorkers;
  /** Number of the job's tasks that each worker already has. */
  const std::map<UpstreamId, std::uint32_t>& tasksPerWorker;
};

/**
 * Chooses the worker for a task. Designed for short tasks on workers of
 * different speed, whose state several entries see with a delay. A worker with
 * free resources is drawn at random, weighted by its free resources and its
 * speed. At high utilization slower workers that still finish in time are
 * preferred, which leaves the fast ones to long tasks. If no worker has free
 * resources, one is drawn among those whose queue still lets the task end in
 * time. Not thread safe.
 */
class Placement
{
public:
  using Views = std::map<UpstreamId, UpstreamView>;

  /**
   * aRemoteDataFactor: how many times as long a task takes on a worker far from
   * its data.
   */
  Placement(std::uint64_t aSeed, double aRemoteDataFactor)
    : random_(aSeed)
    , remoteDataFactor_(aRemoteDataFactor)
  {
  }

  /** Returns nothing if no worker is suitable; see Reason(). */
  std::optional<PlacementResult> Choose(const PlacementRequest& aRequest,
                                        const Views& aViews,
                                        const ControlView& aControl,
                                        MonotonicTime aNow);
  /** Why the last Choose() that returned nothing found no worker. */
  PlacementFailure Reason() const { return reason_; }
  /**
   * Whether the task of the last Choose() would end in time if resources became
   * free immediately.
   */
  bool CouldFinishInTime() const { return couldFinishInTime_; }
  /**
   * Delay after which the caller of a rejected job should retry, with random
   * jitter.
   */
  Milliseconds RetryAfter();

private:
  struct Candidate
  {
    const UpstreamId* upstream;
    const UpstreamView* view;
    Milliseconds startIn;
    Milliseconds endIn;
    /**
     * Time left between the expected end and the latest useful one; negative if
     * the task would be late.
     */
    Milliseconds slack;
  };

  bool IsAllowed(const PlacementRequest& aRequest,
                 const UpstreamId& aUpstream,
                 const UpstreamView& aView,
                 const ControlView& aControl,
                 MonotonicTime aNow) const;
  const Candidate* PickWeighted(const std::vector<Candidate>& aCandidates,
                                const Resources& aDemand,
                                bool aIsHighlyUtilized);
  /**
   * Draws a candidate at random by its weight; nothing if all weights are 0.
   * Several entries see the same figures, which may be old. Drawing prevents
   * all of them from choosing the same worker.
   */
  const Candidate* Draw(const std::vector<Candidate>& aCandidates,
                        const std::function<double(const Candidate&)>& aWeight);
  /** Weight of a worker for a task that starts at once; otherwise 0. */
  static double Weight(const Candidate& aCandidate,
                       const Candidate& aBest,
                       const Resources& aDemand,
                       bool aIsHighlyUtilized);
  /**
   * Weight of a worker for a task that queues there: more for large workers,
   * and less the closer the task gets to being late.
   */
  static double QueueWeight(const Candidate& aCandidate);

  std::mt19937_64 random_;
  double remoteDataFactor_;
  PlacementFailure reason_ = PlacementFailure::NoWorker;
  bool couldFinishInTime_ = false;
  Milliseconds shortestWait_{ 0 };
};

}

#endif
