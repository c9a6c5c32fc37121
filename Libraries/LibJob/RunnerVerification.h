#ifndef Libraries_LibJob_RunnerVerification_h
#define Libraries_LibJob_RunnerVerification_h

#include "LibCore/Time.h"
#include "LibJob/RunnerReport.h"

#include <cstdint>
#include <set>

namespace vanillaworks::job {

/** A reported incarnation that has not answered a call yet. */
struct RunnerVerification
{
  RunnerReport report;
  /** The latest that is known of the runner's clock. */
  std::int64_t clockMs = 0;
  std::uint64_t token = 0;
  /** How often a token has been refused as too low. */
  int refusals = 0;
  /** The calls that await an answer; the first answer counts. */
  std::set<std::uint64_t> calls;
  MonotonicTime repeatAt;
  MonotonicTime expiresAt;
};

}

#endif
