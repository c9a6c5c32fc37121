#ifndef Libraries_LibPlatform_HttpObjectStore_h
#define Libraries_LibPlatform_HttpObjectStore_h

#include "LibPlatform/HttpClient.h"
#include "LibPlatform/ObjectStore.h"

#include <string>

namespace vanillaworks::platform {

/** Object store client over HTTP: PUT and GET of "/objects/NAME". */
class HttpObjectStore final : public ObjectStore
{
public:
  HttpObjectStore(std::string aUrl, Milliseconds aTimeout);

  Result<Success, TableError> Put(const std::string& aName,
                                  const std::string& aBytes) override;
  Result<std::string, TableError> Get(const std::string& aName) override;

private:
  std::string url_;
  HttpClient client_;
};

}

#endif
