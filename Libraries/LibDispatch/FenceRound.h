#ifndef Libraries_LibDispatch_FenceRound_h
#define Libraries_LibDispatch_FenceRound_h

#include "LibCore/Time.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibProtocol/FenceReport.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace vanillaworks::dispatch {

/** What became of a task of a fenced entry, as far as an agent knows. */
struct FoundTask
{
  enum class Fate : std::uint8_t
  {
    Running,
    Ended,
    Forgotten
  };
  UpstreamId upstream;
  Fate fate;
  protocol::TaskResult result;
};

/**
 * Asks every agent that may have started something for a fenced entry. Only
 * when all have answered is what nobody names known not to have started.
 */
struct FenceRound
{
  EntryIdentity fenced;
  MonotonicTime patience;
  std::set<UpstreamId> waiting;
  std::unordered_map<protocol::TaskKey, FoundTask> found;
  std::vector<SubmissionId> submissions;
};

}

#endif
