#ifndef Libraries_LibJob_ControlFetchLimiter_h
#define Libraries_LibJob_ControlFetchLimiter_h

#include "LibCore/Time.h"

#include <cstdint>

namespace vanillaworks::job {

/**
 * Decides which peer to ask for the latest operators' configuration. Only one
 * request is outstanding at a time, so that a slow link carries one document
 * instead of one from each of many peers. Not thread safe.
 */
class ControlFetchLimiter
{
public:
  /**
   * Handles a peer's frame that advertises aPeerRevision. Returns true if that
   * peer should be asked now. The next request is allowed only after this one
   * has timed out; the timeout doubles with each unanswered request.
   */
  bool ShouldFetch(std::uint64_t aPeerRevision,
                   std::uint64_t aOwnRevision,
                   MonotonicTime aNow);
  /** Resets the limiter after any peer has answered. */
  void OnAnswered() { *this = {}; }

private:
  bool isFetching_ = false;
  MonotonicTime retryAt_;
  Milliseconds retryDelay_{ 0 };
};

}

#endif
