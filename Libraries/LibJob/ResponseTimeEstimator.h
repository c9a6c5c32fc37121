#ifndef Libraries_LibJob_ResponseTimeEstimator_h
#define Libraries_LibJob_ResponseTimeEstimator_h

#include "LibCore/Time.h"

namespace vanillaworks::job {

/**
 * Estimates the response time of a runner and the timeout after which an answer
 * counts as lost: the smoothed response time plus four mean deviations (RFC
 * 6298, section 2), within bounds. Not thread safe.
 */
class ResponseTimeEstimator
{
public:
  /** Adds the response time of a call that was not retried. */
  void AddSample(Milliseconds aTime);
  /** Returns the maximum timeout until the first sample was added. */
  Milliseconds Timeout() const;

private:
  bool hasSamples_ = false;
  double smoothedMs_ = 0;
  double deviationMs_ = 0;
};

}

#endif
