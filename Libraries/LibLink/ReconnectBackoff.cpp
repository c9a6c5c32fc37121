#include "LibLink/ReconnectBackoff.h"

#include <algorithm>

namespace vanillaworks::link {

namespace {
constexpr Milliseconds kInitialBackoff{ 100 };
/** Bounds how long a restarted or rebooted peer waits for an attempt. */
constexpr Milliseconds kMaxRestartBackoff{ 400 };
constexpr Milliseconds kMaxUnreachableBackoff{ 4000 };
/** A peer that stays unreachable for longer is not expected back soon. */
constexpr Milliseconds kUnreachableAfter{ 30'000 };
}

void
ReconnectBackoff::OnAttempt(MonotonicTime aNow)
{
  if (firstAttemptAt_ == MonotonicTime{}) {
    firstAttemptAt_ = aNow;
  }
  bool isUnreachable = aNow - firstAttemptAt_ > kUnreachableAfter;
  auto maxBackoff = isUnreachable ? kMaxUnreachableBackoff : kMaxRestartBackoff;
  backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, maxBackoff);
  nextAttemptAt_ = aNow + backoff_;
}

}
