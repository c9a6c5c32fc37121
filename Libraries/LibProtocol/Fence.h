#ifndef Libraries_LibProtocol_Fence_h
#define Libraries_LibProtocol_Fence_h

#include "LibCore/Ids.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/**
 * Entry to agent: start nothing more for these lives of entries, and report
 * what was ever started of these submissions, whoever sent it.
 */
struct Fence
{
  /** Numbers the rounds of the entry that asks; the report repeats it. */
  std::uint64_t round = 0;
  /** By entry: this and older incarnations are fenced. */
  std::map<EntryId, Incarnation> fences;
  std::vector<SubmissionId> submissions;

  MSGPACK_DEFINE_ARRAY(round, fences, submissions)
};

}

#endif
