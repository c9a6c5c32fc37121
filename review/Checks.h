#ifndef review_Checks_h
#define review_Checks_h

#include "review/Record.h"
#include "review/Runner.h"

#include <vector>

namespace review {

/**
 * Counts the pairs of runs of one task that were at work at the same time, and
 * records them.
 */
int
CountDoubleRuns(const std::vector<RunRecord>& aRuns, Record& aRecord);

/** Returns the exit status for the number of times the rule was broken. */
int
Report(int aBreaks, Record& aRecord);

}

#endif
