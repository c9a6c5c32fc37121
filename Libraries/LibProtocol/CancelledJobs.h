#ifndef Libraries_LibProtocol_CancelledJobs_h
#define Libraries_LibProtocol_CancelledJobs_h

#include "LibCore/Ids.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/**
 * Entry to a few agents, and from these to all other entries: jobs that callers
 * have cancelled, at whichever entry. Agents send it again on new links.
 */
struct CancelledJobs
{
  std::vector<SubmissionId> jobs;

  MSGPACK_DEFINE_ARRAY(jobs)
};

}

#endif
