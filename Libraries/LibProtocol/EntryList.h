#ifndef Libraries_LibProtocol_EntryList_h
#define Libraries_LibProtocol_EntryList_h

#include <msgpack.hpp>
#include <string>
#include <vector>

namespace vanillaworks::protocol {

/** Entry to agent: the entries in the table have changed. */
struct EntryList
{
  /** Addresses ("host:port") at which entries accept links. */
  std::vector<std::string> addresses;

  MSGPACK_DEFINE_ARRAY(addresses)
};

}

#endif
