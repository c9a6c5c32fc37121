#ifndef Libraries_LibDispatch_SubmissionParser_h
#define Libraries_LibDispatch_SubmissionParser_h

#include "LibCore/Result.h"
#include "LibDispatch/RequestProblem.h"
#include "LibDispatch/SubmissionRequest.h"

#include <string_view>

namespace vanillaworks::dispatch {

struct RequestLimits
{
  std::size_t maxTasks = 1500;
  /** Bounds how long a submission must be remembered. */
  Milliseconds maxDeadline{ 3'600'000 };
};

/**
 * Checks the body of a submission: many tasks under the client's own id.
 * Thread safe. Errors: the first problem found.
 */
Result<SubmissionRequest, RequestProblem>
ParseSubmission(std::string_view aBody,
                const RequestLimits& aLimits,
                WallTime aNow);

/**
 * Checks the body of a single request. An idempotent one without an id gets
 * an empty id. Thread safe. Errors: the first problem found.
 */
Result<SubmissionRequest, RequestProblem>
ParseSingleRequest(std::string_view aBody,
                   const RequestLimits& aLimits,
                   WallTime aNow);

}

#endif
