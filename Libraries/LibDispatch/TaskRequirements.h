#ifndef Libraries_LibDispatch_TaskRequirements_h
#define Libraries_LibDispatch_TaskRequirements_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/Capacity.h"

#include <cstdint>

namespace vanillaworks::dispatch {

/** The properties of a task that routing considers. */
struct TaskRequirements
{
  TaskKind kind;
  protocol::Capacity demand;
  /** 0 for single requests; larger jobs have higher ranks. */
  std::uint32_t rank = 0;
  bool claimed = false;
  MonotonicTime deadline;

  /** Whether the same upstreams are eligible, apart from deadlines. */
  bool HasSameRequirements(const TaskRequirements& aOther) const
  {
    return kind == aOther.kind && rank == aOther.rank &&
           claimed == aOther.claimed && demand == aOther.demand;
  }
};

}

#endif
