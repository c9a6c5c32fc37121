#ifndef Libraries_LibDispatch_Submission_h
#define Libraries_LibDispatch_Submission_h

#include "LibDispatch/Answer.h"
#include "LibDispatch/Decision.h"
#include "LibDispatch/SubmissionRequest.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace vanillaworks::dispatch {

enum class SubmissionPhase : std::uint8_t
{
  /** The claim was requested; its outcome is awaited. */
  Claiming,
  /** Another owner has the claim; its outcome is awaited. */
  Following,
  /** The claim was taken over; agents are queried for started tasks. */
  TakingOver,
  Running,
  /** It has an answer; claimed ones stay until the answer is recorded. */
  Ended
};

enum class TaskPhase : std::uint8_t
{
  Waiting,
  Sent,
  Completed
};

struct TaskProgress
{
  TaskPhase phase = TaskPhase::Waiting;
  UpstreamId upstream;
  std::string payload;
};

/** The state of one submission or single request within its entry. */
struct Submission
{
  SubmissionRequest request;
  SubmissionPhase phase = SubmissionPhase::Claiming;
  MonotonicTime submittedAt;
  MonotonicTime deadline;
  std::vector<TaskProgress> tasks;
  std::uint32_t unfinished = 0;
  std::uint32_t rank = 0;
  /** Set once a task has run, completely or partly. */
  bool hasRun = false;
  bool cancelled = false;
  bool recorded = false;
  /** Set while delivery of the answer waits for its record in the table. */
  bool isUnconfirmed = false;
  MonotonicTime endedAt;
  Answer answer;
  std::vector<WaiterId> waiters;
  /** Results to acknowledge once the answer is recorded. */
  std::vector<std::pair<UpstreamId, std::uint64_t>> unacknowledged;
  std::vector<Decision> decisions;

  bool IsClaimed() const { return request.durability == Durability::Claimed; }
};

}

#endif
