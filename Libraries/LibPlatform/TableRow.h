#ifndef Libraries_LibPlatform_TableRow_h
#define Libraries_LibPlatform_TableRow_h

#include <cstdint>
#include <string>

namespace vanillaworks::platform {

struct TableRow
{
  std::string key;
  /** The table's sequence number of the transaction that wrote it. */
  std::uint64_t version = 0;
  std::string value;
};

}

#endif
