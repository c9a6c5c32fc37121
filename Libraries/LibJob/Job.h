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
  /** Given to an agent; it may run. */
  Ordered,
  /** Its agent is lost; it may run until unknownUntil. */
  Unknown,
  Done
};

struct JobTask
{
  TaskState state = TaskState::Waiting;
  UpstreamId upstream;
  /** Numbers the latest order; 0 before the first. */
  std::uint32_t run = 0;
  std::uint32_t failures = 0;
  /** Orders that found their room taken by others. */
  std::uint32_t misses = 0;
  /** Of the latest order. */
  MonotonicTime placedAt;
  Milliseconds expected{ 0 };
  MonotonicTime unknownUntil;
  /** Workers where it failed. */
  std::set<UpstreamId> avoided;
};

/** What the entry is after with a job. */
enum class Intent : std::uint8_t
{
  /** All tasks are to end. */
  Serve,
  /** To be rejected as soon as it is certain that nothing started. */
  Withdraw,
  /** Answered or left by its caller; what is out is being stopped. */
  Abandon
};

/** A job that an entry knows. */
struct Job
{
  JobRequest request;
  std::optional<WaiterId> waiter;
  Intent intent = Intent::Serve;
  std::vector<JobTask> tasks;
  std::size_t done = 0;
  /** Ordered or unknown. */
  std::size_t out = 0;
  /** A task has run, or may have. */
  bool started = false;
  /** Past its goal: tasks may end late. */
  bool late = false;
  /** It was let wait for room before anything of it was ordered. */
  bool waitsForRoom = false;
  /** Tasks that had no place when they were last tried. */
  std::size_t missing = 0;
  std::map<UpstreamId, std::uint32_t> perWorker;
};

}

#endif
