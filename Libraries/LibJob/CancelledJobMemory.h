#ifndef Libraries_LibJob_CancelledJobMemory_h
#define Libraries_LibJob_CancelledJobMemory_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <deque>
#include <unordered_set>
#include <vector>

namespace vanillaworks::job {

/**
 * Remembers cancelled jobs for as long as their requests may arrive again, at
 * most a given number; the oldest are dropped. Not thread safe.
 */
class CancelledJobMemory
{
public:
  explicit CancelledJobMemory(std::size_t aMaxJobs)
    : maxJobs_(aMaxJobs)
  {
  }

  /** Returns false if the job was known already. */
  bool Add(const SubmissionId& aJob, MonotonicTime aNow);
  bool Contains(const SubmissionId& aJob) const { return jobs_.contains(aJob); }
  /** The remembered jobs, the oldest first. */
  std::vector<SubmissionId> All() const;
  /** Drops what has expired. */
  void OnTick(MonotonicTime aNow);

private:
  struct Cancelled
  {
    SubmissionId job;
    MonotonicTime expires;
  };

  void DropOldest();

  std::size_t maxJobs_;
  std::deque<Cancelled> order_;
  std::unordered_set<SubmissionId> jobs_;
};

}

#endif
