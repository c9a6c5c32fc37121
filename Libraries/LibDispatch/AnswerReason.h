#ifndef Libraries_LibDispatch_AnswerReason_h
#define Libraries_LibDispatch_AnswerReason_h

#include <cstdint>
#include <optional>
#include <string_view>

/** Reasons in an answer: enumerator and its text in the API. */
#define VW_FOR_EACH_ANSWER_REASON(X)                                           \
  X(None, "none")                                                              \
  X(TaskFailed, "task_failed")                                                 \
  X(DeadlinePassed, "deadline_passed")                                         \
  X(Cancelled, "cancelled")                                                    \
  X(CannotFit, "cannot_fit")                                                   \
  X(UpstreamLost, "upstream_lost")                                             \
  X(TableUnavailable, "table_unavailable")                                     \
  X(OwnerLost, "owner_lost")                                                   \
  X(OutcomeUnknown, "outcome_unknown")                                         \
  X(ResultLost, "result_lost")                                                 \
  X(Overloaded, "overloaded")                                                  \
  X(Stopping, "stopping")                                                      \
  X(DigestMismatch, "digest_mismatch")                                         \
  X(RetryBudgetSpent, "retry_budget_spent")

namespace vanillaworks::dispatch {

enum class AnswerReason : std::uint8_t
{
#define VW_REASON_VALUE(name, word) name,
  VW_FOR_EACH_ANSWER_REASON(VW_REASON_VALUE)
#undef VW_REASON_VALUE
};

/** Thread safe. */
constexpr std::string_view
AnswerReasonName(AnswerReason aReason)
{
  switch (aReason) {
#define VW_REASON_NAME(name, word)                                             \
  case AnswerReason::name:                                                     \
    return word;
    VW_FOR_EACH_ANSWER_REASON(VW_REASON_NAME)
#undef VW_REASON_NAME
  }
  return "none";
}

/** The inverse of AnswerReasonName(). Thread safe. */
constexpr std::optional<AnswerReason>
AnswerReasonFromName(std::string_view aName)
{
#define VW_REASON_FROM(name, word)                                             \
  if (aName == (word)) {                                                       \
    return AnswerReason::name;                                                 \
  }
  VW_FOR_EACH_ANSWER_REASON(VW_REASON_FROM)
#undef VW_REASON_FROM
  return {};
}

}

#endif
