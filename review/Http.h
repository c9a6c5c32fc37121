#ifndef review_Http_h
#define review_Http_h

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Address
{
  std::string host;
  int port = 0;

  std::string Text() const { return host + ":" + std::to_string(port); }
};

/** Opens a listening socket; returns -1 if the address is in use. */
int
Listen(const Address& aAddress);
/** Connects; returns -1 if the connection is refused. */
int
Connect(const Address& aAddress);
/** Writes everything; returns false if the connection is broken. */
bool
WriteAll(int aSocket, const std::string& aData);
/** Closes the socket with a reset. */
void
Reset(int aSocket);

struct HttpRequest
{
  std::string method;
  /** Without the query. */
  std::string path;
  std::map<std::string, std::string> query;
  /** Names in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;
};

inline constexpr int kReset = 0;
/** As kReset, after all other connections of the server have ended. */
inline constexpr int kResetLast = -1;

struct HttpReply
{
  /** kReset and kResetLast reset the connection in place of an answer. */
  int status = 200;
  std::string body;
};

/** A server with one thread for each connection. */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  HttpServer(Address aAddress, Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Returns false if the address is in use. */
  bool Open();
  /** Stops listening and resets all connections, as a crash does. */
  void Close();

private:
  void Accept(int aListener);
  void Serve(int aSocket);
  void WaitForOtherConnections(int aSocket);

  Address address_;
  Handler handler_;
  std::mutex mutex_;
  int listener_ = -1;
  std::set<int> sockets_;
  std::atomic<int> threads_{ 0 };
};

enum class CallEnd : std::uint8_t
{
  Answered,
  /** The connection was refused. */
  Refused,
  /** The connection broke before a complete answer. */
  Broken,
  /** No answer came in time; the caller closed its connection. */
  TimedOut
};

struct CallResult
{
  CallEnd end = CallEnd::TimedOut;
  int status = 0;
  std::string body;

  std::string Text() const;
};

struct Call
{
  Address to;
  std::string method = "GET";
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
  std::int64_t timeoutMs = 2000;
};

/** Sends one request on a new connection and waits for its answer. */
CallResult
Send(const Call& aCall);

}

#endif
