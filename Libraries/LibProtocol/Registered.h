#ifndef Libraries_LibProtocol_Registered_h
#define Libraries_LibProtocol_Registered_h

#include "LibCore/Ids.h"

#include <map>
#include <msgpack.hpp>

namespace vanillaworks::protocol {

/**
 * Entry to agent: the table holds the agent's incarnation, so that every
 * later takeover will ask it; the fences are those set before that.
 */
struct Registered
{
  /** By entry: this and older incarnations are fenced. */
  std::map<EntryId, Incarnation> fences;

  MSGPACK_DEFINE_ARRAY(fences)
};

}

#endif
