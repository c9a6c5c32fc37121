#ifndef Libraries_LibJob_GoalAdmission_h
#define Libraries_LibJob_GoalAdmission_h

#include "LibJob/AdmissionPolicy.h"

namespace vanillaworks::job {

/** Lets every job's tasks queue for as long as its goal allows. */
class GoalAdmission final : public AdmissionPolicy
{
public:
  void OnAsked(const JobRequest&, MonotonicTime) override {}
  void OnAdmitted(const JobRequest&, MonotonicTime) override {}
  std::optional<Milliseconds> MaxStartDelay(const JobRequest&,
                                            MonotonicTime) const override
  {
    return {};
  }
};

}

#endif
