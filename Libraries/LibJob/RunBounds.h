#ifndef Libraries_LibJob_RunBounds_h
#define Libraries_LibJob_RunBounds_h

#include "LibCore/Time.h"

namespace vanillaworks::job {

/**
 * Bounds on how long a run may go on after contact with its entry or agent is
 * lost. Entry and agent derive them from the same settings, so that no task is
 * placed again while an earlier run of it may be active. docs/DESIGN.md has the
 * chain that the bounds form. Thread safe.
 */
struct RunBounds
{
  /** The agent stops runs this long after the last contact with their entry. */
  Milliseconds entryTimeout;
  /** Longest lease that the agent requests from the runner. */
  Milliseconds lease;
  /** Longest lease that the runner grants, whatever is requested. */
  Milliseconds grantedLease;
  /**
   * No lease is requested beyond this time after the last contact with the
   * entry of a run, by the runner's clock. It ends the run if the agent can't.
   */
  Milliseconds contactLease;
  /**
   * No lease is requested beyond this time after the entry has cancelled a run,
   * by the runner's clock.
   */
  Milliseconds cancelLease;
  /**
   * Time after the loss of an agent at which none of its runs can still be
   * active.
   */
  Milliseconds lostAgentTimeout;

  friend bool operator==(const RunBounds&, const RunBounds&) = default;

  /**
   * aCallerRetry: time after which a caller without an answer tries another
   * entry. aLongestLease: maximum lease that the runner grants.
   */
  static RunBounds Derive(Milliseconds aCallerRetry,
                          Milliseconds aLongestLease);
};

}

#endif
