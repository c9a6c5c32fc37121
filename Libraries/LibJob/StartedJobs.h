#ifndef Libraries_LibJob_StartedJobs_h
#define Libraries_LibJob_StartedJobs_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <unordered_set>

namespace vanillaworks::job {

/**
 * Remembers jobs that have started, for longer than a caller tries, so that a
 * later attempt isn't rejected as not run. Holds two generations of bounded
 * size; the older one is dropped as a whole. Not thread safe.
 */
class StartedJobs
{
public:
  void Add(const SubmissionId& aJob, MonotonicTime aNow);
  bool Contains(const SubmissionId& aJob) const
  {
    return recent_.contains(aJob) || former_.contains(aJob);
  }

private:
  std::unordered_set<SubmissionId> recent_;
  std::unordered_set<SubmissionId> former_;
  MonotonicTime recentSince_;
};

}

#endif
