#ifndef Libraries_LibDispatch_SubmissionRequest_h
#define Libraries_LibDispatch_SubmissionRequest_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/Capacity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::dispatch {

enum class Durability : std::uint8_t
{
  /** Claimed in the table before its first start; starts at most once. */
  Claimed,
  /** An idempotent request: not claimed, and may be retried. */
  Repeatable
};

struct TaskRequest
{
  TaskId id;
  TaskKind kind;
  std::string payload;
  protocol::Capacity demand;
};

/** A validated request of a caller. */
struct SubmissionRequest
{
  SubmissionId id;
  TeamId team;
  WallTime deadline;
  Durability durability = Durability::Claimed;
  std::vector<TaskRequest> tasks;
  /**
   * Digest of the whole request; distinguishes a resubmission from a different
   * request under the same id.
   */
  std::string digest;
};

}

#endif
