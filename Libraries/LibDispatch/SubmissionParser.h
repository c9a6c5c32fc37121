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
  /** Bounds the time that a submission must be kept. */
  Milliseconds maxDeadline{ 3'600'000 };
};

/**
 * Parses and validates the body of a submission, which has one or more tasks
 * under an id chosen by the client. Thread safe. Errors: the first problem
 * found.
 */
Result<SubmissionRequest, RequestProblem>
ParseSubmission(std::string_view aBody,
                const RequestLimits& aLimits,
                WallTime aNow);

/**
 * Parses and validates the body of a single request. An idempotent request
 * gets an empty id. Thread safe. Errors: the first problem found.
 */
Result<SubmissionRequest, RequestProblem>
ParseSingleRequest(std::string_view aBody,
                   const RequestLimits& aLimits,
                   WallTime aNow);

}

#endif
