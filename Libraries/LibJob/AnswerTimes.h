#ifndef Libraries_LibJob_AnswerTimes_h
#define Libraries_LibJob_AnswerTimes_h

#include "LibCore/Time.h"

namespace vanillaworks::job {

/**
 * How long a runner takes to answer, and after which time an answer has to be
 * taken for lost: the smoothed time and four deviations (RFC 6298, section 2),
 * within bounds. Not thread safe.
 */
class AnswerTimes
{
public:
  /** aTime: of a call that was made once only. */
  void Add(Milliseconds aTime);
  /** The longest one until the first answer. */
  Milliseconds Timeout() const;

private:
  bool isKnown_ = false;
  double smoothedMs_ = 0;
  double deviationMs_ = 0;
};

}

#endif
