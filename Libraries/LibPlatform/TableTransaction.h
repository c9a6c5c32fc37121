#ifndef Libraries_LibPlatform_TableTransaction_h
#define Libraries_LibPlatform_TableTransaction_h

#include "LibCore/Time.h"
#include "LibPlatform/TableRow.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::platform {

/** Expected version of a write that requires that the row doesn't exist. */
constexpr std::uint64_t kAbsentVersion = 0;

struct TableWrite
{
  std::string key;
  /** Version that the row must have; any version if empty. */
  std::optional<std::uint64_t> expected;
  /** New value; the row is deleted if empty. */
  std::optional<std::string> value;
  /** Time after which the service may delete the row; never if empty. */
  std::optional<WallTime> expires;
};

/** All writes take effect or none does. */
struct TableTransaction
{
  std::vector<TableWrite> writes;
};

struct TableTransactionResult
{
  bool committed = false;
  /** If committed: the new version of every row written. */
  std::uint64_t sequence = 0;
  /**
   * If not committed: the rows whose version was not the expected one, with
   * version 0 for rows that don't exist.
   */
  std::vector<TableRow> conflicts;
};

}

#endif
