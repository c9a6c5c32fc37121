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

/** The claim is new and belongs to this entry: no task has started. */
struct ClaimGranted
{
  /** The incarnation of this entry that requested the claim. */
  EntryIdentity owner;
};

/** Another entry, or another incarnation of this one, owns the claim. */
struct ClaimHeld
{
  EntryIdentity owner;
  std::string digest;
};

/** The submission has ended and its outcome is recorded. */
struct ClaimRecorded
{
  Answer answer;
  std::string digest;
};

/** The table has no such submission. */
struct ClaimMissing
{};

/**
 * The claim was transferred from another owner to this entry, and the former
 * owner is fenced in the table.
 */
struct ClaimTakenOver
{
  /** The incarnation of this entry that requested the takeover. */
  EntryIdentity owner;
  /** Fenced incarnations by entry; they include all former owners. */
  std::map<EntryId, Incarnation> fences;
  /** The table's sequence number when the submission was first claimed. */
  std::uint64_t sequence = 0;
  /** All agents that may have started a task of the submission. */
  std::vector<UpstreamRow> upstreams;
};

using ClaimOutcome = std::
  variant<ClaimGranted, ClaimHeld, ClaimRecorded, ClaimMissing, ClaimTakenOver>;

}

#endif
