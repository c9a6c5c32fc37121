#ifndef Tests_System_ClientCrowd_h
#define Tests_System_ClientCrowd_h

#include <cstddef>
#include <string>
#include <vector>

namespace vanillaworks::system {

/** What each client of a crowd does. */
struct ClientCrowdOptions
{
  /** "host:port" with a numeric host of the loopback range. */
  std::string address;
  std::size_t connections = 1;
  /** Sent again and again, without a look at the responses. */
  std::string text;
  std::size_t bytesPerConnection = 0;
};

/**
 * Clients of one address that send and never read. Their connections stay open
 * until the crowd is destroyed.
 */
class ClientCrowd
{
public:
  /**
   * Sends until each connection has sent its bytes, was closed by the server,
   * or takes nothing more.
   */
  explicit ClientCrowd(const ClientCrowdOptions& aOptions);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /** Connections that the server accepted, also if it has closed them since. */
  std::size_t CountConnected() const { return connected_; }

private:
  std::vector<int> sockets_;
  std::size_t connected_ = 0;
};

}

#endif
