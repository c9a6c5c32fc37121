#ifndef Libraries_LibPlatform_TableTransaction_h
#define Libraries_LibPlatform_TableTransaction_h

#include "LibCore/Time.h"
#include "LibPlatform/TableRow.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillaworks::platform {

/** The row's version that a write requires; 0 means no such row. */
constexpr std::uint64_t kAbsent = 0;

struct TableWrite
{
  std::string key;
  /** Nothing means any version. */
  std::optional<std::uint64_t> expected;
  /** Nothing deletes the row. */
  std::optional<std::string> value;
  /** When the service may drop the row. */
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
  /** When committed: the version of every row written. */
  std::uint64_t sequence = 0;
  /** Otherwise: the rows that were not as expected, version 0 if absent. */
  std::vector<TableRow> conflicts;
};

}

#endif
