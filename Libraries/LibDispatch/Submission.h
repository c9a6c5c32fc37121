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
  /** Waits for the table to grant the claim. */
  Claiming,
  /** Another entry owns the claim; its outcome is awaited. */
  Following,
  /** The claim was taken over; agents are being asked what ran. */
  TakingOver,
  Running,
  /** Answered; Claimed ones wait here until the outcome is recorded. */
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

/** One submission or single request within its entry. */
struct Submission
{
  SubmissionRequest request;
  SubmissionPhase phase = SubmissionPhase::Claiming;
  MonotonicTime submittedAt;
  MonotonicTime deadline;
  std::vector<TaskProgress> tasks;
  std::uint32_t unfinished = 0;
  std::uint32_t rank = 0;
  /** Set once a task of it has run, wholly or in part. */
  bool hasRun = false;
  bool cancelled = false;
  bool recorded = false;
  /** Set while the answer waits to be recorded before it is given. */
  bool unconfirmed = false;
  MonotonicTime endedAt;
  Answer answer;
  std::vector<WaiterId> waiters;
  /** Results to acknowledge once the outcome is recorded. */
  std::vector<std::pair<UpstreamId, std::uint64_t>> unacknowledged;
  std::vector<Decision> decisions;

  bool IsClaimed() const { return request.durability == Durability::Claimed; }
};

}

#endif
