#ifndef Tests_Soak_RecordJudge_h
#define Tests_Soak_RecordJudge_h

#include "Tests/System/PlatformDeployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::system {

/** One job as its caller saw it. */
struct CallerRecord
{
  std::string job;
  std::size_t tasks;
  CallerAnswer answer;
};

/**
 * From when to when nothing was to start, microseconds: in a domain, or at a
 * worker where the domain is empty.
 */
struct QuietTime
{
  std::string domain;
  std::int64_t from;
  std::int64_t to;
  std::size_t worker = 0;
};

/** Tasks of one job that ran at the same time twice, or a worker too full. */
std::vector<std::string>
JudgeRuns(const std::vector<RunRecord>& aRuns);

/** Starts in a domain that was closed, or left by its workers, long enough. */
std::vector<std::string>
JudgeQuiet(const std::vector<RunRecord>& aRuns,
           const std::vector<QuietTime>& aTimes);

/**
 * Answers that are not what they should be: neither whole nor a failure, "not
 * run" of a job that ran, "completed" with a task that did not end.
 */
std::vector<std::string>
JudgeAnswers(const std::vector<RunRecord>& aRuns,
             const std::vector<CallerRecord>& aCallers);

}

#endif
