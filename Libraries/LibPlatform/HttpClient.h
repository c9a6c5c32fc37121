#ifndef Libraries_LibPlatform_HttpClient_h
#define Libraries_LibPlatform_HttpClient_h

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibPlatform/TableError.h"

#include <memory>
#include <string>

namespace vanillaworks::platform {

struct HttpResponse
{
  long status = 0;
  std::string body;
};

/**
 * Blocking HTTP client that reuses one connection (libcurl). A request whose
 * connection is lost is sent again only if its method is idempotent. Not thread
 * safe: one thread uses an instance. curl_global_init() must have been called.
 */
class HttpClient
{
public:
  explicit HttpClient(Milliseconds aTimeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  Result<HttpResponse, TableError> Get(const std::string& aUrl);
  Result<HttpResponse, TableError> Post(const std::string& aUrl,
                                        const std::string& aBody);
  Result<HttpResponse, TableError> Put(const std::string& aUrl,
                                       const std::string& aBody);
  Result<HttpResponse, TableError> Delete(const std::string& aUrl);

private:
  Result<HttpResponse, TableError> Perform(const std::string& aUrl,
                                           const char* aMethod,
                                           const std::string* aBody);

  struct Handle;
  std::unique_ptr<Handle> handle_;
  Milliseconds timeout_;
};

}

#endif
