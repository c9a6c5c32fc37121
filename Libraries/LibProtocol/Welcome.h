#ifndef Libraries_LibProtocol_Welcome_h
#define Libraries_LibProtocol_Welcome_h

#include "LibCore/Ids.h"
#include "LibProtocol/TaskKey.h"

#include <msgpack.hpp>
#include <string>
#include <vector>

namespace vanillaworks::protocol {

/** Entry to agent or entry: the reply to AgentHello or EntryHello. */
struct Welcome
{
  EntryId entry;
  Incarnation incarnation;
  /** Tasks sent to this agent incarnation whose result is still awaited. */
  std::vector<TaskKey> outstanding;
  /** Addresses ("host:port") at which entries accept links. */
  std::vector<std::string> entries;

  MSGPACK_DEFINE_ARRAY(entry, incarnation, outstanding, entries)
};

}

#endif
