#ifndef Libraries_LibCore_Time_h
#define Libraries_LibCore_Time_h

#include <chrono>
#include <cstdint>
#include <ctime>

namespace vanillaworks {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/**
 * The clock for all leases, ages and timeouts (CLOCK_BOOTTIME). Unlike
 * std::chrono::steady_clock it includes the time a host was suspended.
 */
struct BootClock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /** Thread safe. */
  static time_point now()
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

/** Valid on one host only; never compared between hosts. */
using MonotonicTime = BootClock::time_point;

/** Milliseconds since the Unix epoch; used only for callers' deadlines. */
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

inline MonotonicTime
MonotonicNow()
{
  return BootClock::now();
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
