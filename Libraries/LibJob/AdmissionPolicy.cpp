#include "LibJob/AdmissionPolicy.h"

#include "LibJob/GoalAdmission.h"
#include "LibJob/PriorityAdmission.h"

namespace vanillaworks::job {

std::unique_ptr<AdmissionPolicy>
AdmissionPolicy::Create(AdmissionKind aKind, double aGuaranteedShare)
{
  if (aKind == AdmissionKind::ByPriority) {
    return std::make_unique<PriorityAdmission>(aGuaranteedShare);
  }
  return std::make_unique<GoalAdmission>();
}

}
