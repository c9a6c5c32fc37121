#ifndef Libraries_LibPlatform_TableRow_h
#define Libraries_LibPlatform_TableRow_h

#include <cstdint>
#include <string>

namespace vanillaworks::platform {

struct TableRow
{
  std::string key;
  /** Sequence number of the transaction that wrote the row. */
  std::uint64_t version = 0;
  std::string value;
};

}

#endif
