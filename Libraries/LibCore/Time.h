#ifndef Libraries_LibCore_Time_h
#define Libraries_LibCore_Time_h

#include <chrono>

namespace vanillaworks {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/** Goes on while the process is stopped; never compared between hosts. */
using MonotonicTime = std::chrono::steady_clock::time_point;

/** Milliseconds since the Unix epoch: used only for callers' deadlines. */
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

inline MonotonicTime
MonotonicNow()
{
  return std::chrono::steady_clock::now();
}

inline WallTime
WallNow()
{
  return std::chrono::time_point_cast<Milliseconds>(
    std::chrono::system_clock::now());
}

inline std::int64_t
ToMicroseconds(MonotonicTime aTime)
{
  return std::chrono::duration_cast<Microseconds>(aTime.time_since_epoch())
    .count();
}

inline MonotonicTime
FromMicroseconds(std::int64_t aMicroseconds)
{
  return MonotonicTime(Microseconds(aMicroseconds));
}

}

#endif
