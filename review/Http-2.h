#ifndef review_Http_2_h
#define review_Http_2_h

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace vanillaworks::review {

/** Milliseconds of the host's steady clock. Thread safe. */
std::int64_t
NowMs();
/** Thread safe. */
void
SleepMs(std::int64_t aDuration);

struct HttpRequest
{
  std::string method;
  /** With the query. */
  std::string path;
  /** Names in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;

  /** A parameter of the query, decoded; empty if there is none. */
  std::string Query(const std::string& aName) const;
};

struct HttpResponse
{
  /** 0: there was no answer. */
  int status = 0;
  std::string body;
};

/** "host:port" with a numeric host. */
using Address = std::string;

/**
 * Serves HTTP/1.1 with one thread for each connection. The handler is called on
 * these threads; without a result the connection is closed unanswered.
 */
class HttpServer
{
public:
  using Handler =
    std::function<std::optional<HttpResponse>(const HttpRequest& aRequest)>;

  HttpServer(const Address& aAddress, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  bool IsListening() const { return listener_ >= 0; }

private:
  void Accept();
  void Serve(int aSocket);

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> isStopping_{ false };
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

/** One request on a channel of its own. Not thread safe. */
class HttpCall
{
public:
  using Headers = std::map<std::string, std::string>;

  HttpCall(const Address& aAddress,
           const HttpRequest& aRequest,
           std::int64_t aConnectTimeoutMs = 1000);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /** Waits for the answer; afterwards the channel is closed. */
  HttpResponse Await(std::int64_t aTimeoutMs);
  /** Breaks the channel with a reset. */
  void Reset();

private:
  int socket_ = -1;
};

/** Connects to aAddress; -1 if that fails. Thread safe. */
int
ConnectTo(const Address& aAddress, std::int64_t aTimeoutMs);
/** Listens on aAddress; -1 if that fails. Thread safe. */
int
ListenOn(const Address& aAddress);
/** Closes the socket with a reset. */
void
ResetSocket(int aSocket);

/** Sends a request and waits for its answer. Thread safe. */
HttpResponse
Call(const Address& aAddress,
     const HttpRequest& aRequest,
     std::int64_t aTimeoutMs);

}

#endif
