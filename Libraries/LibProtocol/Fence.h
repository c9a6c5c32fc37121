#ifndef Libraries_LibProtocol_Fence_h
#define Libraries_LibProtocol_Fence_h

#include "LibCore/Ids.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/**
 * Entry to agent: start no more tasks for these entry incarnations, and report
 * all tasks of these submissions that were ever started, from any entry.
 */
struct Fence
{
  /** Number of the requesting entry's round, echoed in the report. */
  std::uint64_t round = 0;
  /** Per entry, the newest fenced incarnation; older ones are fenced too. */
  std::map<EntryId, Incarnation> fences;
  std::vector<SubmissionId> submissions;

  MSGPACK_DEFINE_ARRAY(round, fences, submissions)
};

}

#endif
