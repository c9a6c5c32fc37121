#ifndef Libraries_LibPlatform_TableRead_h
#define Libraries_LibPlatform_TableRead_h

#include "LibPlatform/TableRow.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::platform {

/** Reads any number of rows from one consistent snapshot of the table. */
struct TableRead
{
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
};

struct TableReadResult
{
  std::vector<TableRow> rows;
};

}

#endif
