#ifndef review_Net_3_h
#define review_Net_3_h

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** Milliseconds of the machine's boot clock. Thread safe. */
std::int64_t
NowMs();
void
SleepMs(std::int64_t aMilliseconds);
/** Sleeps until NowMs() is aTime. */
void
SleepUntil(std::int64_t aTime);

/** Connects to a loopback address "host:port"; -1 if that fails. */
int
ConnectTo(const std::string& aAddress);
/** Listens on a loopback address "host:port"; -1 if that fails. */
int
ListenOn(const std::string& aAddress);
bool
SendAll(int aSocket, const std::string& aBytes);

/** A request or a response of HTTP/1.1 with a body of known length. */
struct HttpMessage
{
  /** The first line without its end. */
  std::string start;
  /** Names are in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;

  /** The status of a response; 0 if no response was received. */
  int Status() const;
  /** The method or the target of a request. */
  std::string Method() const;
  std::string Target() const;
};

/** Reads messages from a socket. Not thread safe. */
class HttpReader
{
public:
  explicit HttpReader(int aSocket)
    : socket_(aSocket)
  {
  }

  /**
   * Returns false if the connection ends, or if aTimeoutMs pass, before a whole
   * message was received. A negative time-out waits for ever.
   */
  bool Read(HttpMessage& aMessage, std::int64_t aTimeoutMs = -1);

private:
  bool Fill(std::int64_t aUntil);

  int socket_;
  std::string buffer_;
};

std::string
FormatRequest(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aHost,
              const std::string& aBody,
              std::int64_t aDeadlineMs = 0);

/** Makes one call on a connection of its own. */
HttpMessage
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     std::int64_t aTimeoutMs,
     const std::string& aHost = "kiosk.example");

struct HttpReply
{
  /** 0 if the request gets no answer. */
  int status = 200;
  std::string body;
};

/**
 * HTTP server with a thread for each connection. It lasts as long as the
 * process. The handler is called on many threads.
 */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpMessage&)>;

  HttpServer(const std::string& aAddress, Handler aHandler);
  bool IsListening() const { return listener_ >= 0; }

  /** Resets all connections and refuses further ones, as a crashed process. */
  void GoDown();
  void ComeBack();

private:
  void Accept();
  void Serve(int aSocket);
  bool Answer(int aSocket, const HttpReply& aReply) const;

  std::string address_;
  Handler handler_;
  std::atomic<int> listener_;
  std::atomic<int> crashes_ = 0;
  std::mutex mutex_;
  std::set<int> connections_;
};

}

#endif
