#ifndef Services_Entry_EntryApi_h
#define Services_Entry_EntryApi_h

#include "LibDispatch/Answer.h"
#include "LibDispatch/ConfigurationDocument.h"
#include "LibDispatch/Dispatcher.h"
#include "LibDispatch/RequestProblem.h"
#include "LibPlatform/PatchOutcome.h"

#include <optional>
#include <string>
#include <string_view>

namespace vanillaworks::entry {

/** The status and body of an HTTP response. */
struct ApiReply
{
  int status = 200;
  /** JSON text. */
  std::string body;
};

/** What an entry knows about the propagation of its configuration. */
struct VersionStatus
{
  /** Whether the entry can confirm that no newer version is in force. */
  bool isFresh;
  /** All member entries, this one included. */
  std::size_t entries;
  /** Member entries that are known to have the version. */
  std::size_t entriesWithVersion;
};

/** The body of a request to patch the configuration. */
struct PatchRequest
{
  /** The version that the patch is based on. */
  ConfigurationVersion base;
  /** JSON text of a merge patch. */
  std::string patch;
};

// The functions below make the responses of the HTTP API. All are thread safe.

/** For a submission that has ended. */
ApiReply
ReplyForAnswer(const dispatch::Answer& aAnswer);
/** For a request body that was rejected; says where the problem is. */
ApiReply
ReplyForProblem(const dispatch::RequestProblem& aProblem);
/** An error with a machine-readable reason: {"error":{"reason":...}}. */
ApiReply
ReplyForError(int aStatus, std::string_view aReason);
/** For a submission that has not ended; gives the progress in tasks. */
ApiReply
ReplyForRunning(const dispatch::Submission& aSubmission);
/** Lists the decisions; after_ms counts from the submission's arrival. */
ApiReply
ReplyForDecisions(const dispatch::Submission& aSubmission);
ApiReply
ReplyForConfiguration(const dispatch::ConfigurationDocument& aDocument,
                      const VersionStatus& aStatus);
ApiReply
ReplyForUpstreams(const dispatch::UpstreamDirectory& aDirectory,
                  const dispatch::ConfigurationDocument& aDocument,
                  MonotonicTime aNow);
/** For every outcome except PatchApplied. */
ApiReply
ReplyForPatchFailure(const platform::PatchOutcome& aOutcome);
/** Returns nothing if the body is not a valid patch request. */
std::optional<PatchRequest>
ParsePatchRequest(const std::string& aBody);

}

#endif
