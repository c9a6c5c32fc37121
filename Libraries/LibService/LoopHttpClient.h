#ifndef Libraries_LibService_LoopHttpClient_h
#define Libraries_LibService_LoopHttpClient_h

#include "LibCore/Time.h"
#include "LibService/EventLoop.h"

#include <cstdint>
#include <curl/curl.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct event;

namespace vanillaworks::service {

struct LoopHttpRequest
{
  const char* method = "GET";
  std::string url;
  /** JSON; an empty string sends no body. */
  std::string body;
  /** Each in the form "Name: value". */
  std::vector<std::string> headers;
  Milliseconds timeout{ 1000 };
};

struct LoopHttpResponse
{
  /** 0 if no complete response was received. */
  long status = 0;
  std::string body;
  /** Set if no connection could be made, so that no data was ever sent. */
  bool wasNeverSent = false;
};

/**
 * HTTP/1.1 client on the event loop's thread with persistent connections
 * (libcurl's multi interface). A request that times out closes its connection,
 * so that an unresponsive connection is not reused. A request whose connection
 * is lost is sent again only if its method is idempotent. All calls must come
 * from the loop's thread.
 */
class LoopHttpClient
{
public:
  using OnResponse = std::function<void(LoopHttpResponse)>;
  static constexpr std::chrono::seconds kDefaultMaxIdle{ 118 };

  /**
   * aMaxIdle: a connection that was idle for longer is closed instead of
   * reused, since it may have become unresponsive meanwhile; in steps of a
   * second.
   */
  LoopHttpClient(EventLoop& aLoop,
                 long aConnectionsPerHost,
                 std::chrono::seconds aMaxIdle = kDefaultMaxIdle);
  ~LoopHttpClient();
  LoopHttpClient(const LoopHttpClient&) = delete;
  LoopHttpClient& operator=(const LoopHttpClient&) = delete;

  /** Calls aOnResponse exactly once, in a later iteration of the loop. */
  void Call(LoopHttpRequest aRequest, OnResponse aOnResponse);

private:
  friend struct LoopHttpClientCallbacks;
  struct Transfer;

  void OnSocket(int aSocket, int aWhat);
  void SetTimer(long aMilliseconds);
  void RunSocketAction(int aSocket, int aEvents);
  void CompleteTransfers();
  CURL* AcquireHandle();

  event_base* base_;
  std::chrono::seconds maxIdle_;
  CURLM* multi_;
  event* timer_;
  std::map<int, event*> sockets_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;
  std::vector<CURL*> idleHandles_;
};

}

#endif
