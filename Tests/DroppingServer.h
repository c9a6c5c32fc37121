#ifndef Tests_DroppingServer_h
#define Tests_DroppingServer_h

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace vanillaworks::tests {

/** What a DroppingServer does when it has dropped a connection. */
enum class AfterDrop : std::uint8_t
{
  /** It goes on and answers requests on new connections. */
  Accept,
  /** It refuses new connections, as after a crash. */
  Refuse
};

/**
 * An HTTP server on a thread of its own that answers the first request, keeps
 * the connection, and drops it without a response once it has read the second
 * request there. Its clients must be destroyed first. Requests() may be called
 * on any thread.
 */
class DroppingServer
{
public:
  /** aAddress: "host:port" with a numeric host. */
  DroppingServer(const std::string& aAddress, AfterDrop aAfterDrop);
  ~DroppingServer();
  DroppingServer(const DroppingServer&) = delete;
  DroppingServer& operator=(const DroppingServer&) = delete;

  /** Number of complete requests received so far. */
  int Requests() const { return requests_; }

private:
  void Serve();
  /** Answers requests until the connection ends or has to be dropped. */
  void ServeConnection(int aSocket);

  int listener_;
  AfterDrop afterDrop_;
  std::atomic<int> requests_ = 0;
  std::thread thread_;
};

}

#endif
