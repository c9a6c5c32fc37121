#ifndef Libraries_LibJob_Job_h
#define Libraries_LibJob_Job_h

#include "LibJob/JobAnswer.h"
#include "LibJob/JobRequest.h"
#include "LibProtocol/RunTask.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace vanillaworks::job {

enum class TaskState : std::uint8_t
{
  Waiting,
  /** Sent to an agent; the task may be running. */
  Ordered,
  /** The agent is lost; the task may run until unknownUntil. */
  Unknown,
  Done
};

struct JobTask
{
  TaskState state = TaskState::Waiting;
  UpstreamId upstream;
  /** Number of the latest order; 0 before the first one. */
  std::uint32_t run = 0;
  std::uint32_t failures = 0;
  /** Orders that were returned because other tasks had taken the capacity. */
  std::uint32_t capacityMisses = 0;
  /** When the latest order was placed. */
  MonotonicTime placedAt;
  Milliseconds expected{ 0 };
  /** When the agent was lost. */
  MonotonicTime lostAt;
  MonotonicTime unknownUntil;
  /** Workers on which the task failed, got stuck or was refused. */
  std::set<UpstreamId> avoidedWorkers;
};

/** What the entry wants to achieve for a job. */
enum class JobIntent : std::uint8_t
{
  /** Run all tasks to their end. */
  Serve,
  /** Reject the job as soon as it is certain that no task started. */
  Withdraw,
  /**
   * The job was answered or its caller disconnected; outstanding tasks are
   * being stopped.
   */
  Abandon
};

/** State of a job on an entry. */
struct Job
{
  JobRequest request;
  std::optional<WaiterId> waiter;
  /** When the caller was last seen to be connected. */
  MonotonicTime callerSeenAt;
  JobIntent intent = JobIntent::Serve;
  std::vector<JobTask> tasks;
  std::size_t doneTasks = 0;
  /** Number of tasks in state Ordered or Unknown. */
  std::size_t outstanding = 0;
  /** Runs that were ordered so far. */
  std::uint32_t orders = 0;
  /** A task has run or may have run. */
  bool hasStarted = false;
  /**
   * The goal can't be met any more; tasks are placed by the deadline instead.
   */
  bool isLate = false;
  /** The job was queued for capacity before any of its tasks was ordered. */
  bool isWaitingForCapacity = false;
  /** Tasks for which the last placement attempt found no worker. */
  std::size_t unplacedTasks = 0;
  std::map<UpstreamId, std::uint32_t> tasksPerWorker;

  bool HasWaitingTasks() const
  {
    return outstanding + doneTasks < tasks.size();
  }
};

}

#endif
