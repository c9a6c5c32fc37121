#ifndef Libraries_LibDispatch_RequestProblem_h
#define Libraries_LibDispatch_RequestProblem_h

#include <cstdint>
#include <string>
#include <string_view>

/** Reasons for an HTTP 4xx response: enumerator and its text in the API. */
#define VW_FOR_EACH_REQUEST_PROBLEM(X)                                         \
  X(NotJson, "not_json")                                                       \
  X(UnknownField, "unknown_field")                                             \
  X(MissingField, "missing_field")                                             \
  X(WrongType, "wrong_type")                                                   \
  X(NegativeSize, "negative_size")                                             \
  X(OutOfRange, "out_of_range")                                                \
  X(NoTasks, "no_tasks")                                                       \
  X(TooManyTasks, "too_many_tasks")                                            \
  X(DuplicateTaskId, "duplicate_task_id")                                      \
  X(DeadlinePassed, "deadline_in_the_past")                                    \
  X(DeadlineTooFar, "deadline_too_far")

namespace vanillaworks::dispatch {

enum class RequestProblemKind : std::uint8_t
{
#define VW_PROBLEM_VALUE(name, word) name,
  VW_FOR_EACH_REQUEST_PROBLEM(VW_PROBLEM_VALUE)
#undef VW_PROBLEM_VALUE
};

/** Thread safe. */
constexpr std::string_view
RequestProblemName(RequestProblemKind aKind)
{
  switch (aKind) {
#define VW_PROBLEM_NAME(name, word)                                            \
  case RequestProblemKind::name:                                               \
    return word;
    VW_FOR_EACH_REQUEST_PROBLEM(VW_PROBLEM_NAME)
#undef VW_PROBLEM_NAME
  }
  return "not_json";
}

/** Why a request is rejected before any of its tasks runs. */
struct RequestProblem
{
  RequestProblemKind kind;
  /** A JSON pointer (RFC 6901) to the rejected value in the body. */
  std::string path;
};

}

#endif
