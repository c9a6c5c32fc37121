#ifndef Libraries_LibService_HttpServer_h
#define Libraries_LibService_HttpServer_h

#include "LibCore/Result.h"
#include "LibService/ClientLimits.h"
#include "LibService/ClientRegistry.h"
#include "LibService/HttpHandler.h"
#include "LibService/HttpServerError.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace vanillaworks::service {

struct HttpServerOptions
{
  /** "host:port" with a numeric host. */
  std::string address;
  int threads = 1;
  std::size_t maxRequestBytes = std::size_t{ 4 } * 1024 * 1024;
  /** Bounds on clients, all threads together. */
  ClientLimits limits;
  /** Called on any of the server's threads. */
  ClientRegistry::OnClosed onClientClosed;
};

/** HTTP server for callers and operators, on threads of its own (libevent). */
class HttpServer
{
public:
  /** Binds and starts the threads. The handler must outlive the server. */
  static Result<std::unique_ptr<HttpServer>, HttpServerError> Create(
    const HttpServerOptions& aOptions,
    HttpHandler& aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Stops the threads; pending requests are aborted. Idempotent. */
  void Stop();

private:
  class Worker;
  HttpServer() = default;

  /** Responses that are still to be sent share their worker's event loop. */
  std::vector<std::shared_ptr<Worker>> workers_;
};

}

#endif
