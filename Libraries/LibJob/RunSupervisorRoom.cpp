#include "LibJob/RunSupervisor.h"

namespace vanillaworks::job {

bool
RunSupervisor::IsRoomKnown(MonotonicTime aNow) const
{
  if (!runner_ || runner_->report.isInferred) {
    return false;
  }
  // The clock is that of the runner, so that a report counts from when it was
  // written, however long it was saved or on its way.
  auto age = runner_->clock.EstimateMs(aNow) - runner_->report.clockMs;
  return age <= limits_.maxReportAge.count();
}

bool
RunSupervisor::IsBeyondRoom(const Run& aRun, MonotonicTime aNow) const
{
  return IsRoomKnown(aNow) && !runner_->report.capacity.Fits(aRun.demand);
}

void
RunSupervisor::UpdateRoomKnown(MonotonicTime aNow)
{
  if (runner_ && runner_->isRoomKnown != IsRoomKnown(aNow)) {
    runner_->isRoomKnown = !runner_->isRoomKnown;
    ++statusRevision_;
  }
}

}
