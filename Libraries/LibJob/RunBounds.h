#ifndef Libraries_LibJob_RunBounds_h
#define Libraries_LibJob_RunBounds_h

#include "LibCore/Time.h"

namespace vanillaworks::job {

/**
 * How long a run may outlive those who know of it. Both programs work these
 * out from the same settings, so that no task is placed anew while its former
 * run may still go on. Thread safe.
 */
struct RunBounds
{
  /** How long runs live after their entry's last word. */
  Milliseconds vouch;
  /** How long they live after their agent's last word. */
  Milliseconds lease;
  /** From the loss of an agent until nothing that it was given can run. */
  Milliseconds lostAgent;

  friend bool operator==(const RunBounds&, const RunBounds&) = default;

  /**
   * aCallerRetry: after how long a caller without an answer asks elsewhere.
   * aLongestLease: what the runner allows.
   */
  static RunBounds Of(Milliseconds aCallerRetry, Milliseconds aLongestLease);
};

}

#endif
