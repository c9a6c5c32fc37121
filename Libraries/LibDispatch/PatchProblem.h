#ifndef Libraries_LibDispatch_PatchProblem_h
#define Libraries_LibDispatch_PatchProblem_h

#include <string>

namespace vanillaworks::dispatch {

enum class PatchProblemKind
{
  NotJson,
  UnknownKey,
  WrongType,
  UnknownState,
  OutOfRange
};

/** Why a configuration document or patch is rejected, and where. */
struct PatchProblem
{
  PatchProblemKind kind;
  /** A JSON pointer (RFC 6901) to the rejected value. */
  std::string path;
};

}

#endif
