#ifndef Libraries_LibJob_LatePriority_h
#define Libraries_LibJob_LatePriority_h

#include <cstdint>

namespace vanillaworks::job {

/**
 * Added to the priority of the tasks of late jobs. It queues them behind all
 * tasks that can still end in time.
 */
inline constexpr std::uint32_t kLatePriority = 1000;

/** Whether a task of this priority belongs to a late job. Thread safe. */
constexpr bool
IsLatePriority(std::uint32_t aPriority)
{
  return aPriority >= kLatePriority;
}

}

#endif
