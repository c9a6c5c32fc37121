#ifndef Libraries_LibDispatch_Decision_h
#define Libraries_LibDispatch_Decision_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

/** Decisions of an entry on a submission: enumerator and its text. */
#define VW_FOR_EACH_DECISION(X)                                                \
  X(Accepted, "accepted")                                                      \
  X(ClaimAsked, "claim_asked")                                                 \
  X(ClaimGranted, "claim_granted")                                             \
  X(FollowingOwner, "following_owner")                                         \
  X(TakeoverAsked, "takeover_asked")                                           \
  X(TakeoverResolved, "takeover_resolved")                                     \
  X(TaskSent, "task_sent")                                                     \
  X(TaskRefused, "task_refused")                                               \
  X(TaskEnded, "task_ended")                                                   \
  X(TaskRetried, "task_retried")                                               \
  X(Joined, "resubmission_joined")                                             \
  X(Ended, "ended")                                                            \
  X(Recorded, "recorded")

namespace vanillaworks::dispatch {

enum class DecisionKind : std::uint8_t
{
#define VW_DECISION_VALUE(name, word) name,
  VW_FOR_EACH_DECISION(VW_DECISION_VALUE)
#undef VW_DECISION_VALUE
};

/** Thread safe. */
constexpr std::string_view
DecisionKindName(DecisionKind aKind)
{
  switch (aKind) {
#define VW_DECISION_NAME(name, word)                                           \
  case DecisionKind::name:                                                     \
    return word;
    VW_FOR_EACH_DECISION(VW_DECISION_NAME)
#undef VW_DECISION_NAME
  }
  return "accepted";
}

/** One decision in the history of a submission, shown to operators. */
struct Decision
{
  MonotonicTime when;
  DecisionKind kind;
  /** Index of the task, where the decision concerns a single one. */
  std::uint32_t task = 0;
  UpstreamId upstream;
  std::string_view reason;
};

}

#endif
