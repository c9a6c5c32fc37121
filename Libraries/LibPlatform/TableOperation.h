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

struct WatchOperation
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

/** Enters an agent's incarnation in the table. */
struct RegisterOperation
{
  UpstreamId upstream;
  Incarnation incarnation;
  /** Set when the agent said that it stopped with nothing left. */
  bool gone = false;
};

struct RegisterOutcome
{
  /** By entry: the newest incarnation that was fenced. */
  std::map<EntryId, Incarnation> fences;
};

/** One thing that an entry wants of the table, and who gets the answer. */
struct TableOperation
{
  /** The life of the entry that asks. */
  dispatch::EntryIdentity self;
  std::variant<ClaimOperation,
               WatchOperation,
               TakeOverOperation,
               RecordOperation,
               RegisterOperation>
    request;
  /** For claims. Called on the keeper's thread. */
  std::function<void(dispatch::ClaimOutcome)> onClaim;
  /** For registrations. Called on the keeper's thread. */
  std::function<void(RegisterOutcome)> onRegister;
};

}

#endif
