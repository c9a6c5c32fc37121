#include "LibService/HttpServer.h"

#include "LibService/EventLoop.h"
#include "LibService/LoopHttpServer.h"

#include <atomic>
#include <thread>

namespace vanillaworks::service {

namespace {
constexpr Milliseconds kReleaseInterval{ 100 };
/** Longer than any deadline, so that waiting callers are not disconnected. */
constexpr std::chrono::hours kIdleTimeout{ 2 };

using Exchange = std::shared_ptr<LoopHttpExchange>;
}

/** One thread of the server with an event loop of its own. */
class HttpServer::Worker : public std::enable_shared_from_this<Worker>
{
public:
  Worker(const HttpServerOptions& aOptions, HttpHandler& aHandler)
    : handler_(aHandler)
    , clients_(aOptions.limits, aOptions.onClientClosed)
  {
  }
  ~Worker() { Stop(); }

  /** Returns the error if the address can't be opened. */
  std::optional<HttpServerError> Start(const HttpServerOptions& aOptions)
  {
    LoopHttpServerOptions options{ aOptions.address };
    options.maxBodyBytes = aOptions.maxRequestBytes;
    options.idleTimeout = kIdleTimeout;
    options.sharesPort = aOptions.threads > 1;
    auto server = LoopHttpServer::Create(
      loop_.Base(), options, clients_, [this](Exchange aExchange) {
        OnRequest(std::move(aExchange));
      });
    if (server.IsError()) {
      return server.Error();
    }
    server_ = server.ReleaseValue();
    loop_.RunEvery(kReleaseInterval, [this] {
      server_->DropDisconnectedCallers();
      clients_.ReleaseClosed();
    });
    thread_ = std::thread([this] { loop_.Run(); });
    return {};
  }

  void Stop()
  {
    if (thread_.joinable()) {
      // Posted, since a loop that has not begun to run would miss the stop.
      loop_.Post([this] { loop_.Stop(); });
      thread_.join();
    }
    server_.reset();
  }

  /** Sends a response; thread safe. */
  void Reply(Exchange aExchange,
             int aStatus,
             std::string aBody,
             const char* aContentType)
  {
    loop_.Post(
      [exchange = std::move(aExchange),
       aStatus,
       body = std::move(aBody),
       aContentType] { exchange->Reply(aStatus, body, {}, aContentType); });
  }

  /** Destroys an exchange on the event loop's thread; thread safe. */
  void Release(Exchange aExchange)
  {
    loop_.Post([exchange = std::move(aExchange)] {});
  }

private:
  void OnRequest(Exchange aExchange);

  HttpHandler& handler_;
  EventLoop loop_;
  ClientRegistry clients_;
  std::unique_ptr<LoopHttpServer> server_;
  std::thread thread_;
};

namespace {
template<typename Worker>
class WorkerResponder final : public HttpResponder
{
public:
  WorkerResponder(std::shared_ptr<Worker> aWorker, Exchange aExchange)
    : worker_(std::move(aWorker))
    , exchange_(std::move(aExchange))
  {
  }
  ~WorkerResponder() override
  {
    if (!hasReplied_.exchange(true)) {
      worker_->Release(std::move(exchange_));
    }
  }

  void Reply(int aStatus,
             const std::string& aBody,
             const char* aContentType) override
  {
    if (!hasReplied_.exchange(true)) {
      worker_->Reply(std::move(exchange_), aStatus, aBody, aContentType);
    }
  }

private:
  std::shared_ptr<Worker> worker_;
  Exchange exchange_;
  std::atomic<bool> hasReplied_{ false };
};
}

void
HttpServer::Worker::OnRequest(Exchange aExchange)
{
  const auto& received = aExchange->Request();
  HttpRequest request{ received.method, received.path, aExchange->TakeBody() };
  handler_.OnRequest(std::move(request),
                     std::make_shared<WorkerResponder<Worker>>(
                       shared_from_this(), std::move(aExchange)));
}

HttpServer::~HttpServer()
{
  Stop();
}

Result<std::unique_ptr<HttpServer>, HttpServerError>
HttpServer::Create(const HttpServerOptions& aOptions, HttpHandler& aHandler)
{
  std::unique_ptr<HttpServer> server(new HttpServer);
  auto options = aOptions;
  options.limits.eventLoops = static_cast<std::size_t>(aOptions.threads);
  for (int i = 0; i < aOptions.threads; ++i) {
    auto worker = std::make_shared<Worker>(options, aHandler);
    auto error = worker->Start(options);
    if (error) {
      return Failure{ *error };
    }
    server->workers_.push_back(std::move(worker));
  }
  return server;
}

void
HttpServer::Stop()
{
  for (const auto& worker : workers_) {
    worker->Stop();
  }
}

}
