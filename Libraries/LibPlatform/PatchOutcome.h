#ifndef Libraries_LibPlatform_PatchOutcome_h
#define Libraries_LibPlatform_PatchOutcome_h

#include "LibDispatch/ConfigurationDocument.h"

#include <variant>

namespace vanillaworks::platform {

struct PatchApplied
{
  dispatch::ConfigurationDocument document;
};

/** The patch was made against another version than the one in force. */
struct PatchVersionMismatch
{
  ConfigurationVersion current;
};

/** The table can't be reached; certain: the patch has no effect. */
struct PatchTableDown
{};

/** Whether the patch took effect could not be found out in time. */
struct PatchUnknown
{};

using PatchOutcome = std::variant<PatchApplied,
                                  PatchVersionMismatch,
                                  dispatch::PatchProblem,
                                  PatchTableDown,
                                  PatchUnknown>;

}

#endif
