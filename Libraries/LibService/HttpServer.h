#ifndef Libraries_LibService_HttpServer_h
#define Libraries_LibService_HttpServer_h

#include "LibCore/Result.h"
#include "LibService/HttpHandler.h"

#include <cstddef>
#include <memory>
#include <string>

namespace vanillaworks::service {

enum class HttpServerError : std::uint8_t
{
  BadAddress,
  CannotBind
};

struct HttpServerOptions
{
  /** "host:port" with a numeric host. */
  std::string address;
  int threads = 1;
  std::size_t maxRequestBytes = std::size_t{ 4 } * 1024 * 1024;
};

/** HTTP server for callers and operators (Pistache). */
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
  struct Endpoint;
  explicit HttpServer(std::unique_ptr<Endpoint> aEndpoint);

  std::unique_ptr<Endpoint> endpoint_;
};

}

#endif
