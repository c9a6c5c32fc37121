#ifndef Libraries_LibLink_ReconnectBackoff_h
#define Libraries_LibLink_ReconnectBackoff_h

#include "LibCore/Time.h"

namespace vanillaworks::link {

/**
 * Exponential backoff between connection attempts to one peer. The backoff is
 * capped low while the peer may be restarting, and higher once the peer has
 * been unreachable for long. Does no I/O; not thread safe.
 */
class ReconnectBackoff
{
public:
  bool IsAttemptDue(MonotonicTime aNow) const { return aNow >= nextAttemptAt_; }
  /** A connection attempt was started; its outcome is not known yet. */
  void OnAttempt(MonotonicTime aNow);
  /** The link is up. Once it is lost, the next attempt is due at once. */
  void OnConnected() { *this = {}; }

private:
  MonotonicTime nextAttemptAt_;
  Milliseconds backoff_{ 0 };
  /** The first attempt since the peer was last connected, or at all. */
  MonotonicTime firstAttemptAt_;
};

}

#endif
