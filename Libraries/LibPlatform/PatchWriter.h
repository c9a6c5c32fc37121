#ifndef Libraries_LibPlatform_PatchWriter_h
#define Libraries_LibPlatform_PatchWriter_h

#include "LibPlatform/PatchOutcome.h"
#include "LibPlatform/TableService.h"

#include <cstdint>
#include <string>

namespace vanillaworks::platform {

/**
 * Writes the configuration that results from an operator's patch as the next
 * version, by compare-and-set. If the response to a write is lost, the nonce in
 * the log row of that version tells whether this patch or another one took
 * effect. Not thread safe: one thread uses an instance.
 */
class PatchWriter
{
public:
  explicit PatchWriter(TableService& aTable)
    : table_(aTable)
  {
  }

  static constexpr const char* kConfigurationKey = "configuration";

  /**
   * Applies a patch to version aBase. Retries until aDeadline and blocks
   * meanwhile. aNonce must differ from the nonce of any other patch.
   */
  PatchOutcome Apply(ConfigurationVersion aBase,
                     const std::string& aPatch,
                     const std::string& aNonce,
                     MonotonicTime aDeadline);

  /** Decodes the value of the "configuration" row. */
  static Result<dispatch::ConfigurationDocument, dispatch::PatchProblem> Decode(
    const std::string& aValue);

private:
  TableService& table_;
};

}

#endif
