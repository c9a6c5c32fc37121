#ifndef Libraries_LibPlatform_ObjectStore_h
#define Libraries_LibPlatform_ObjectStore_h

#include "LibCore/Result.h"
#include "LibPlatform/TableError.h"

#include <string>

namespace vanillaworks::platform {

/**
 * The platform's object store. Each object is written once under its name.
 * Calls block. Not thread safe: one thread uses an instance.
 */
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  virtual Result<Success, TableError> Put(const std::string& aName,
                                          const std::string& aBytes) = 0;
  virtual Result<std::string, TableError> Get(const std::string& aName) = 0;
};

}

#endif
