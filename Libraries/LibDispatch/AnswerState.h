#ifndef Libraries_LibDispatch_AnswerState_h
#define Libraries_LibDispatch_AnswerState_h

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillaworks::dispatch {

/** What became of a submission or request as a whole. */
enum class AnswerState : std::uint8_t
{
  /** Every task completed; the answer holds every result. */
  Complete,
  /** It ended without a whole answer; tasks may have run. */
  Failed,
  /** Certain: no task of it was started, and none ever will be. */
  NotRun,
  /** A task may have run, and whether it did can't be known here. */
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
