#ifndef Libraries_LibDispatch_Answer_h
#define Libraries_LibDispatch_Answer_h

#include "LibCore/Ids.h"
#include "LibDispatch/AnswerReason.h"
#include "LibDispatch/AnswerState.h"

#include <string>
#include <vector>

namespace vanillaworks::dispatch {

/** The result of one task in a complete answer. */
struct TaskAnswer
{
  TaskId id;
  std::string payload;

  friend bool operator==(const TaskAnswer&, const TaskAnswer&) = default;
};

/** The response to a caller: the results of all tasks or of none. */
struct Answer
{
  SubmissionId submission;
  AnswerState state = AnswerState::Failed;
  AnswerReason reason = AnswerReason::None;
  /** In the order of the request; empty unless the state is Complete. */
  std::vector<TaskAnswer> tasks;

  friend bool operator==(const Answer&, const Answer&) = default;
};

}

#endif
