#ifndef Tests_Soak_InvariantChecks_h
#define Tests_Soak_InvariantChecks_h

#include "Tests/System/PlatformDeployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::system {

/** A job and the answer that its caller received. */
struct CallerRecord
{
  std::string job;
  std::size_t tasks;
  CallerAnswer answer;
};

/**
 * Interval in which no task may start, in microseconds of the host's monotonic
 * clock. It applies to a failure domain, or to one worker if domain is empty.
 */
struct NoStartInterval
{
  std::string domain;
  std::int64_t from;
  std::int64_t to;
  std::size_t worker = 0;
};

/**
 * Returns a violation for each task that ran twice at the same time, and for
 * each worker whose running tasks exceeded its capacity.
 */
std::vector<std::string>
CheckRuns(const std::vector<RunRecord>& aRuns);

/**
 * Returns a violation for each task that started within an interval, in the
 * interval's failure domain or on its worker. An interval begins once the
 * domain has been closed, or the worker draining, for the allowed delay.
 */
std::vector<std::string>
CheckNoStartIntervals(const std::vector<RunRecord>& aRuns,
                      const std::vector<NoStartInterval>& aIntervals);

/**
 * Returns a violation for each task that was started three times or more after
 * three runners had crashed under it.
 */
std::vector<std::string>
CheckCrashingTasks(const std::vector<RunRecord>& aRuns);

/**
 * Returns a violation for each wrong answer: status 200 with a body that is
 * neither "completed" nor "failed", a rejection as not run of a job that has
 * started a task, and "completed" of a job with a task that has not ended.
 */
std::vector<std::string>
CheckAnswers(const std::vector<RunRecord>& aRuns,
             const std::vector<CallerRecord>& aCallers);

}

#endif
