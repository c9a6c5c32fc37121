#ifndef Libraries_LibProtocol_Reconcile_h
#define Libraries_LibProtocol_Reconcile_h

#include "LibProtocol/TaskKey.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/** Agent to entry, after Welcome: these never arrived and never will. */
struct Reconcile
{
  std::vector<TaskKey> neverReceived;

  MSGPACK_DEFINE_ARRAY(neverReceived)
};

}

#endif
