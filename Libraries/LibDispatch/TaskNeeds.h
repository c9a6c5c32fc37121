#ifndef Libraries_LibDispatch_TaskNeeds_h
#define Libraries_LibDispatch_TaskNeeds_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/Capacity.h"

#include <cstdint>

namespace vanillaworks::dispatch {

/** What routing may know of a task. */
struct TaskNeeds
{
  TaskKind kind;
  protocol::Capacity demand;
  /** 0 is a single request; jobs have higher ranks. */
  std::uint32_t rank = 0;
  bool claimed = false;
  MonotonicTime deadline;

  /** Whether what serves one serves the other, deadlines aside. */
  bool IsLike(const TaskNeeds& aOther) const
  {
    return kind == aOther.kind && rank == aOther.rank &&
           claimed == aOther.claimed && demand == aOther.demand;
  }
};

}

#endif
