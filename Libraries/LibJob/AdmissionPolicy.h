#ifndef Libraries_LibJob_AdmissionPolicy_h
#define Libraries_LibJob_AdmissionPolicy_h

#include "LibCore/Time.h"
#include "LibJob/JobRequest.h"

#include <memory>
#include <optional>

namespace vanillaworks::job {

/** Which jobs an entry admits if not all of them can be served. */
enum class AdmissionKind : std::uint8_t
{
  /** Every job that is expected to end within its goal. */
  ByGoal,
  /** Urgent jobs first, with a guaranteed share for each priority. */
  ByPriority
};

/**
 * Decides how long a job's tasks may queue at a worker for the job to be
 * admitted. Not thread safe.
 */
class AdmissionPolicy
{
public:
  /** aGuaranteedShare: see PriorityAdmission. */
  static std::unique_ptr<AdmissionPolicy> Create(AdmissionKind aKind,
                                                 double aGuaranteedShare);
  virtual ~AdmissionPolicy() = default;

  /** Records a job that asks for admission. */
  virtual void OnAsked(const JobRequest& aJob, MonotonicTime aNow) = 0;
  /** Records that tasks of the job were sent to workers. */
  virtual void OnAdmitted(const JobRequest& aJob, MonotonicTime aNow) = 0;
  /** Returns nothing if only the job's goal limits the delay. */
  virtual std::optional<Milliseconds> MaxStartDelay(
    const JobRequest& aJob,
    MonotonicTime aNow) const = 0;
};

}

#endif
