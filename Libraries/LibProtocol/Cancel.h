#ifndef Libraries_LibProtocol_Cancel_h
#define Libraries_LibProtocol_Cancel_h

#include "LibProtocol/TaskKey.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** Entry to agent: cancel these tasks if they have not started. */
struct Cancel
{
  std::vector<TaskKey> keys;

  MSGPACK_DEFINE_ARRAY(keys)
};

}

#endif
