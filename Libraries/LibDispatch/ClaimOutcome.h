#ifndef Libraries_LibDispatch_ClaimOutcome_h
#define Libraries_LibDispatch_ClaimOutcome_h

#include "LibDispatch/Answer.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/UpstreamRow.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace vanillaworks::dispatch {

/** The claim is ours and new: nothing of the submission has started. */
struct ClaimGranted
{
  /** The life of this entry that asked for it. */
  EntryIdentity owner;
};

/** Another life of an entry owns the claim. */
struct ClaimHeld
{
  EntryIdentity owner;
  std::string digest;
};

/** The submission has ended. */
struct ClaimRecorded
{
  Answer answer;
  std::string digest;
};

/** The table has no such submission. */
struct ClaimMissing
{};

/**
 * The claim was another's and is ours now, and its owner is fenced in the
 * table.
 */
struct ClaimTakenOver
{
  /** By entry: the lives that are fenced, all former owners among them. */
  std::map<EntryId, Incarnation> fences;
  /** The table's sequence number when the submission was first claimed. */
  std::uint64_t sequence = 0;
  /** All agents that may have started something of it. */
  std::vector<UpstreamRow> upstreams;
};

using ClaimOutcome = std::
  variant<ClaimGranted, ClaimHeld, ClaimRecorded, ClaimMissing, ClaimTakenOver>;

}

#endif
