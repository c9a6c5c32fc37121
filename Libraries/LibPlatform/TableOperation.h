#ifndef Libraries_LibPlatform_TableOperation_h
#define Libraries_LibPlatform_TableOperation_h

#include "LibCore/Time.h"
#include "LibDispatch/Answer.h"
#include "LibDispatch/ClaimOutcome.h"
#include "LibDispatch/EntryIdentity.h"

#include <functional>
#include <map>
#include <string>
#include <variant>

namespace vanillaworks::platform {

struct ClaimOperation
{
  SubmissionId submission;
  std::string digest;
  WallTime deadline;
};

struct PollClaimOperation
{
  SubmissionId submission;
};

struct TakeOverOperation
{
  SubmissionId submission;
  std::string digest;
  WallTime deadline;
  dispatch::EntryIdentity owner;
};

struct RecordOperation
{
  dispatch::Answer answer;
  std::string digest;
  WallTime deadline;
};

/** Registers an agent's incarnation in the table. */
struct RegisterOperation
{
  UpstreamId upstream;
  Incarnation incarnation;
  /** Set if the agent reported that it stopped with no tasks left. */
  bool isGone = false;
};

struct RegisterOutcome
{
  /** The newest fenced incarnation of each entry. */
  std::map<EntryId, Incarnation> fences;
};

/** One table operation of an entry and the callback for its outcome. */
struct TableOperation
{
  /** The incarnation of the entry that requests the operation. */
  dispatch::EntryIdentity self;
  std::variant<ClaimOperation,
               PollClaimOperation,
               TakeOverOperation,
               RecordOperation,
               RegisterOperation>
    request;
  /**
   * For claims, polls, takeovers and records. Called on the batcher's thread.
   */
  std::function<void(dispatch::ClaimOutcome)> onClaim;
  /** For registrations. Called on the batcher's thread. */
  std::function<void(RegisterOutcome)> onRegister;
};

}

#endif
