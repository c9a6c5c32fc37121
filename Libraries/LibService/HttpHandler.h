#ifndef Libraries_LibService_HttpHandler_h
#define Libraries_LibService_HttpHandler_h

#include "LibService/Forward.h"
#include "LibService/HttpRequest.h"

#include <memory>
#include <string>

namespace vanillaworks::service {

/** Sends the response to one request, once, at any time and on any thread. */
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  /** Ignores repeated calls and disconnected callers. Thread safe. */
  virtual void Reply(int aStatus,
                     const std::string& aBody,
                     const char* aContentType) = 0;
};

/** Handles the requests of an HttpServer. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /** Called on any of the server's threads; must not block. */
  virtual void OnRequest(HttpRequest aRequest,
                         std::shared_ptr<HttpResponder> aResponder) = 0;
};

}

#endif
