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

struct ApiReply
{
  int status = 200;
  /** JSON. */
  std::string body;
};

/** What an entry knows of its configuration's standing. */
struct VersionStatus
{
  /** Whether it vouches that no newer version is in force. */
  bool isFresh;
  std::size_t entries;
  std::size_t entriesWithVersion;
};

struct PatchRequest
{
  ConfigurationVersion base;
  /** JSON text of a merge patch. */
  std::string patch;
};

/** The bodies that callers and operators see. All functions thread safe. */
ApiReply
ReplyForAnswer(const dispatch::Answer& aAnswer);
ApiReply
ReplyForProblem(const dispatch::RequestProblem& aProblem);
/** A typed error: {"error":{"reason":...}}. */
ApiReply
ReplyForError(int aStatus, std::string_view aReason);
ApiReply
ReplyForRunning(const dispatch::Submission& aSubmission);
ApiReply
ReplyForDecisions(const dispatch::Submission& aSubmission);
ApiReply
ReplyForConfiguration(const dispatch::ConfigurationDocument& aDocument,
                      const VersionStatus& aStatus);
ApiReply
ReplyForUpstreams(const dispatch::UpstreamDirectory& aDirectory,
                  const dispatch::ConfigurationDocument& aDocument,
                  MonotonicTime aNow);
/** For every outcome but PatchApplied. */
ApiReply
ReplyForPatchFailure(const platform::PatchOutcome& aOutcome);
/** Nothing where the body is not a patch request. */
std::optional<PatchRequest>
ParsePatchRequest(const std::string& aBody);

}

#endif
