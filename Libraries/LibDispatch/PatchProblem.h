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

/** Why a document or a patch is not acceptable, and where. */
struct PatchProblem
{
  PatchProblemKind kind;
  /** A JSON pointer (RFC 6901). */
  std::string path;
};

}

#endif
