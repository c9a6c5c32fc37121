#ifndef Libraries_LibProtocol_Reconcile_h
#define Libraries_LibProtocol_Reconcile_h

#include "LibProtocol/TaskKey.h"

#include <msgpack.hpp>
#include <vector>

namespace vanillaworks::protocol {

/**
 * Agent to entry, after Welcome: the outstanding tasks that were never received
 * and can no longer arrive.
 */
struct Reconcile
{
  std::vector<TaskKey> neverReceived;

  MSGPACK_DEFINE_ARRAY(neverReceived)
};

}

#endif
