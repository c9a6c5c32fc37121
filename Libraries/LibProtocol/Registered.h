#ifndef Libraries_LibProtocol_Registered_h
#define Libraries_LibProtocol_Registered_h

#include "LibCore/Ids.h"

#include <map>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/**
 * Entry to agent: the agent's incarnation is recorded in the table, so that
 * every later takeover queries it. The fences are those set before that.
 */
struct Registered
{
  /** Per entry, the newest fenced incarnation; older ones are fenced too. */
  std::map<EntryId, Incarnation> fences;

  MSGPACK_DEFINE_ARRAY(fences)
};

}

#endif
