#ifndef Libraries_LibService_HttpHandler_h
#define Libraries_LibService_HttpHandler_h

#include "LibService/Forward.h"
#include "LibService/HttpRequest.h"

#include <memory>
#include <string>

namespace vanillaworks::service {

/** Answers one request, from any thread, at any later time, once. */
class HttpReplier
{
public:
  virtual ~HttpReplier() = default;

  /** Thread safe. A caller that went away is no error. */
  virtual void Reply(int aStatus,
                     const std::string& aBody,
                     const char* aContentType) = 0;
};

/** Takes the requests of an HttpServer. */
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /** Called on any of the server's threads; must not block. */
  virtual void OnRequest(HttpRequest aRequest,
                         std::shared_ptr<HttpReplier> aReplier) = 0;
};

}

#endif
