#include "LibJob/ControlFetchLimiter.h"

#include <algorithm>

namespace vanillaworks::job {

namespace {
constexpr Milliseconds kFirstRetryDelay{ 500 };
constexpr Milliseconds kMaxRetryDelay{ 4000 };
}

bool
ControlFetchLimiter::ShouldFetch(std::uint64_t aPeerRevision,
                                 std::uint64_t aOwnRevision,
                                 MonotonicTime aNow)
{
  if (aPeerRevision <= aOwnRevision) {
    return false;
  }
  if (isFetching_ && aNow < retryAt_) {
    return false;
  }
  isFetching_ = true;
  retryDelay_ = std::clamp(retryDelay_ * 2, kFirstRetryDelay, kMaxRetryDelay);
  retryAt_ = aNow + retryDelay_;
  return true;
}

}
