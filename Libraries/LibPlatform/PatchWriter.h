#ifndef Libraries_LibPlatform_PatchWriter_h
#define Libraries_LibPlatform_PatchWriter_h

#include "LibPlatform/PatchOutcome.h"
#include "LibPlatform/TableService.h"

#include <cstdint>
#include <string>

namespace vanillaworks::platform {

/**
 * Turns an operator's patch into the next version by compare-and-set. A
 * nonce in the version's own log row tells whose patch took effect when an
 * answer was lost. One thread uses it.
 */
class PatchWriter
{
public:
  explicit PatchWriter(TableService& aTable)
    : table_(aTable)
  {
  }

  static constexpr const char* kConfigurationKey = "configuration";

  /** aNonce: unlike that of any other patch. Tries until aUntil. */
  PatchOutcome Apply(ConfigurationVersion aBase,
                     const std::string& aPatch,
                     const std::string& aNonce,
                     MonotonicTime aUntil);

  /** Reads a "configuration" row's value. */
  static Result<dispatch::ConfigurationDocument, dispatch::PatchProblem> Decode(
    const std::string& aValue);

private:
  TableService& table_;
};

}

#endif
