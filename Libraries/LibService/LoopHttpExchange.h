#ifndef Libraries_LibService_LoopHttpExchange_h
#define Libraries_LibService_LoopHttpExchange_h

#include "LibCore/Time.h"
#include "LibService/HttpRequest.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace vanillaworks::service {

class LoopHttpServer;

/**
 * One request to a LoopHttpServer and its response, which may be sent at any
 * later time. An exchange destroyed without a reply sends status 500. Used only
 * on the event loop's thread.
 */
class LoopHttpExchange
{
public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  LoopHttpExchange(LoopHttpServer& aServer, evhttp_request* aRequest);
  ~LoopHttpExchange();
  LoopHttpExchange(const LoopHttpExchange&) = delete;
  LoopHttpExchange& operator=(const LoopHttpExchange&) = delete;

  const HttpRequest& Request() const { return request_; }
  /** Moves the request's body out, so that it isn't kept until the reply. */
  std::string TakeBody();
  /** Value of the request's header; std::nullopt if it is missing. */
  std::optional<std::string> Header(const char* aName) const;
  /** The Host header without the port. */
  std::string Host() const;
  /**
   * When the end of the request arrived at this host. It may have waited in its
   * socket since then. The present time if the host doesn't tell. To be called
   * before the caller sends anything further.
   */
  MonotonicTime ReceivedAt() const;

  /**
   * Sends the response, by default with a JSON body. Later calls and
   * disconnected callers are ignored.
   */
  void Reply(int aStatus,
             const std::string& aBody,
             const Headers& = {},
             const char* aContentType = "application/json");

  /** Sets a function to be called at most once, before any Reply(). */
  void OnCallerDisconnected(std::function<void()> aFunction)
  {
    onDisconnected_ = std::move(aFunction);
  }

  /** Whether the caller has closed its connection, checked now. */
  bool IsCallerDisconnected() const;

private:
  friend class LoopHttpServer;
  friend struct LoopHttpCallbacks;

  void Detach();
  /** The connection's socket; -1 if it is closed. */
  int Socket() const;

  LoopHttpServer* server_;
  evhttp_request* handle_;
  HttpRequest request_;
  std::function<void()> onDisconnected_;
};

}

#endif
