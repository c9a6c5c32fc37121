#include "LibService/HttpServer.h"

#include <atomic>
#include <pistache/endpoint.h>
#include <pistache/http.h>

namespace vanillaworks::service {

namespace {
/** Longer than any deadline, so that waiting callers are not disconnected. */
constexpr std::chrono::hours kKeepaliveTimeout{ 2 };
constexpr std::size_t kMaxResponseBytes = std::size_t{ 64 } * 1024 * 1024;

HttpMethod
ToHttpMethod(Pistache::Http::Method aMethod)
{
  switch (aMethod) {
    case Pistache::Http::Method::Get:
      return HttpMethod::Get;
    case Pistache::Http::Method::Post:
      return HttpMethod::Post;
    case Pistache::Http::Method::Put:
      return HttpMethod::Put;
    case Pistache::Http::Method::Delete:
      return HttpMethod::Delete;
    default:
      return HttpMethod::Other;
  }
}

class PistacheResponder final : public HttpResponder
{
public:
  explicit PistacheResponder(Pistache::Http::ResponseWriter aWriter)
    : writer_(std::move(aWriter))
  {
  }

  void Reply(int aStatus,
             const std::string& aBody,
             const char* aContentType) override
  {
    if (hasReplied_.exchange(true)) {
      return;
    }
    try {
      auto mime = Pistache::Http::Mime::MediaType::fromString(aContentType);
      writer_.send(static_cast<Pistache::Http::Code>(aStatus), aBody, mime);
    } catch (const std::exception&) {
      // The caller disconnected; it can still fetch the response by id.
    }
  }

private:
  Pistache::Http::ResponseWriter writer_;
  std::atomic<bool> hasReplied_{ false };
};

class Adapter final : public Pistache::Http::Handler
{
public:
  HTTP_PROTOTYPE(Adapter)

  explicit Adapter(HttpHandler& aHandler)
    : handler_(&aHandler)
  {
  }

  void onRequest(const Pistache::Http::Request& aRequest,
                 Pistache::Http::ResponseWriter aWriter) override
  {
    handler_->OnRequest(
      { ToHttpMethod(aRequest.method()), aRequest.resource(), aRequest.body() },
      std::make_shared<PistacheResponder>(std::move(aWriter)));
  }

private:
  HttpHandler* handler_;
};
}

struct HttpServer::Endpoint
{
  Pistache::Http::Endpoint server;
  bool stopped = false;

  explicit Endpoint(const Pistache::Address& aAddress)
    : server(aAddress)
  {
  }
};

HttpServer::HttpServer(std::unique_ptr<Endpoint> aEndpoint)
  : endpoint_(std::move(aEndpoint))
{
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<std::unique_ptr<HttpServer>, HttpServerError>
HttpServer::Create(const HttpServerOptions& aOptions, HttpHandler& aHandler)
{
  std::unique_ptr<Endpoint> endpoint;
  try {
    endpoint = std::make_unique<Endpoint>(Pistache::Address(aOptions.address));
  } catch (const std::exception&) {
    return Failure{ HttpServerError::BadAddress };
  }
  using Pistache::Tcp::Options;
  auto options =
    Pistache::Http::Endpoint::options()
      .threads(aOptions.threads)
      .flags(Pistache::Flags<Options>(Options::ReuseAddr) | Options::NoDelay)
      .maxRequestSize(aOptions.maxRequestBytes)
      .maxResponseSize(kMaxResponseBytes)
      .keepaliveTimeout(kKeepaliveTimeout);
  try {
    endpoint->server.init(options);
    endpoint->server.setHandler(std::make_shared<Adapter>(aHandler));
    endpoint->server.serveThreaded();
  } catch (const std::exception&) {
    return Failure{ HttpServerError::CannotBind };
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(endpoint)));
}

void
HttpServer::Stop()
{
  if (!endpoint_->stopped) {
    endpoint_->stopped = true;
    endpoint_->server.shutdown();
  }
}

}
