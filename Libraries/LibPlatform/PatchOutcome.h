#ifndef Libraries_LibPlatform_PatchOutcome_h
#define Libraries_LibPlatform_PatchOutcome_h

#include "LibDispatch/ConfigurationDocument.h"

#include <variant>

namespace vanillaworks::platform {

struct PatchApplied
{
  dispatch::ConfigurationDocument document;
};

/** The patch's base version is not the current version. */
struct PatchVersionMismatch
{
  ConfigurationVersion current;
};

/** The table is unavailable and the patch certainly has no effect. */
struct PatchTableUnavailable
{};

/** It is unknown whether the patch took effect before the deadline. */
struct PatchOutcomeUnknown
{};

using PatchOutcome = std::variant<PatchApplied,
                                  PatchVersionMismatch,
                                  dispatch::PatchProblem,
                                  PatchTableUnavailable,
                                  PatchOutcomeUnknown>;

}

#endif
