#ifndef Libraries_LibService_LoopHttpServer_h
#define Libraries_LibService_LoopHttpServer_h

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibService/ClientRegistry.h"
#include "LibService/HttpRequest.h"
#include "LibService/HttpServerError.h"
#include "LibService/LoopHttpExchange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

struct event_base;
struct evhttp;

namespace vanillaworks::service {

struct LoopHttpServerOptions
{
  /** "host:port" with a numeric host. */
  std::string address;
  std::size_t maxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t maxBodyBytes = std::size_t{ 256 } * 1024;
  std::chrono::seconds idleTimeout{ 60 };
  /** Lets several servers of a process, each on its own thread, share a port.
   */
  bool sharesPort = false;
};

/**
 * HTTP/1.1 server on the event loop's own thread (libevent), for hosts that
 * give a process only a fraction of one core. All calls must come from that
 * thread.
 */
class LoopHttpServer
{
public:
  using Handler = std::function<void(std::shared_ptr<LoopHttpExchange>)>;

  /**
   * aClients tracks the clients of all servers on this thread and must
   * outlive the server.
   */
  static Result<std::unique_ptr<LoopHttpServer>, HttpServerError> Create(
    event_base* aBase,
    const LoopHttpServerOptions& aOptions,
    ClientRegistry& aClients,
    Handler aHandler);
  ~LoopHttpServer();
  LoopHttpServer(const LoopHttpServer&) = delete;
  LoopHttpServer& operator=(const LoopHttpServer&) = delete;

  /** From now on each connection is closed after its reply. */
  void CloseConnectionsAfterReply() { closesConnections_ = true; }
  /**
   * Closes the exchanges whose callers have disconnected and notifies them.
   * Must be called periodically if callers wait for responses.
   */
  void DropDisconnectedCallers();

private:
  friend class LoopHttpExchange;
  friend struct LoopHttpCallbacks;

  LoopHttpServer(ClientRegistry& aClients, Handler aHandler);

  evhttp* http_ = nullptr;
  ClientRegistry& clients_;
  Handler handler_;
  std::set<LoopHttpExchange*> openExchanges_;
  std::size_t maxRequestBytes_ = 0;
  bool closesConnections_ = false;
};

}

#endif
