#ifndef Libraries_LibDispatch_AnswerState_h
#define Libraries_LibDispatch_AnswerState_h

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillaworks::dispatch {

/** The outcome of a submission or single request as a whole. */
enum class AnswerState : std::uint8_t
{
  /** All tasks completed; the answer contains all results. */
  Complete,
  /** It ended without a complete answer; tasks may have run. */
  Failed,
  /** It is certain that no task was started and that none ever will be. */
  NotRun,
  /** A task may have run; this entry can't determine whether it did. */
  MayHaveRun
};

/** Thread safe. */
constexpr std::string_view
AnswerStateName(AnswerState aState)
{
  switch (aState) {
    case AnswerState::Complete:
      return "complete";
    case AnswerState::Failed:
      return "failed";
    case AnswerState::NotRun:
      return "not_run";
    case AnswerState::MayHaveRun:
      return "may_have_run";
  }
  return "failed";
}

/** The inverse of AnswerStateName(). Thread safe. */
constexpr std::optional<AnswerState>
AnswerStateFromName(std::string_view aName)
{
  for (auto state : { AnswerState::Complete,
                      AnswerState::Failed,
                      AnswerState::NotRun,
                      AnswerState::MayHaveRun }) {
    if (aName == AnswerStateName(state)) {
      return state;
    }
  }
  return {};
}

}

#endif
