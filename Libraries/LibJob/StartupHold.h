#ifndef Libraries_LibJob_StartupHold_h
#define Libraries_LibJob_StartupHold_h

#include "LibCore/Time.h"

#include <cstddef>

namespace vanillaworks::job {

/**
 * Decides which requests a new process holds until it knows a configuration.
 * Meant for a restart of a whole deployment while the store is slow: no other
 * entry could serve the callers either. Not thread safe.
 */
class StartupHold
{
public:
  void Begin(MonotonicTime aNow) { startedAt_ = aNow; }

  /** Whether a request that arrives now may be held beside aHeld others. */
  bool MayHold(std::size_t aHeld, MonotonicTime aNow) const
  {
    return aNow - startedAt_ < kPeriod && aHeld < kMaxRequests;
  }
  /** Whether a held request is to be rejected. */
  bool IsOver(MonotonicTime aArrival, MonotonicTime aNow) const
  {
    return aNow - startedAt_ >= kPeriod || aNow - aArrival >= kMaxHold;
  }

private:
  /**
   * A process that knows no configuration after this time is taken to be
   * disconnected from the store and from its peers.
   */
  static constexpr Milliseconds kPeriod{ 1000 };
  /** Leaves the caller of a rejected request time to try elsewhere. */
  static constexpr Milliseconds kMaxHold{ 250 };
  static constexpr std::size_t kMaxRequests = 256;

  MonotonicTime startedAt_;
};

}

#endif
