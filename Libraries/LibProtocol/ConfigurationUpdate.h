#ifndef Libraries_LibProtocol_ConfigurationUpdate_h
#define Libraries_LibProtocol_ConfigurationUpdate_h

#include "LibCore/Ids.h"

#include <msgpack.hpp>
#include <string>

namespace vanillaworks::protocol {

/** Any direction: the complete configuration document and its version. */
struct ConfigurationUpdate
{
  ConfigurationVersion version;
  /** JSON text. */
  std::string document;

  MSGPACK_DEFINE_ARRAY(version, document)
};

}

#endif
