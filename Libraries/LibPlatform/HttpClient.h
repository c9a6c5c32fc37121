#ifndef Libraries_LibPlatform_HttpClient_h
#define Libraries_LibPlatform_HttpClient_h

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibPlatform/TableError.h"

#include <memory>
#include <string>

namespace vanillaworks::platform {

struct HttpReply
{
  long status = 0;
  std::string body;
};

/**
 * Blocking HTTP requests over one kept connection (libcurl). An instance
 * belongs to one thread. CURL's global state must have been set up.
 */
class HttpClient
{
public:
  explicit HttpClient(Milliseconds aTimeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  Result<HttpReply, TableError> Get(const std::string& aUrl);
  Result<HttpReply, TableError> Post(const std::string& aUrl,
                                     const std::string& aBody);
  Result<HttpReply, TableError> Put(const std::string& aUrl,
                                    const std::string& aBody);
  Result<HttpReply, TableError> Delete(const std::string& aUrl);

private:
  Result<HttpReply, TableError> Perform(const std::string& aUrl,
                                        const char* aMethod,
                                        const std::string* aBody);

  struct Handle;
  std::unique_ptr<Handle> handle_;
  Milliseconds timeout_;
};

}

#endif
