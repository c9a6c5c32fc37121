#ifndef Tests_StandIns_Relay_h
#define Tests_StandIns_Relay_h

#include "Tests/StandIns/StandInServer.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <memory>
#include <set>
#include <string>

namespace vanillaworks::standins {

/**
 * TCP relay that simulates network faults between a client and a target. It
 * delays data by a fixed time in each direction. "POST /control" on its control
 * address sets {"mode":"pass"|"cut"|"silence"|"one_way"}:
 * - pass forwards data and accepts connections.
 * - cut closes all connections and every new one at once.
 * - silence stops forwarding on the open connections for good, without closing
 *   them, while new connections work.
 * - one_way holds data for the target back until the mode changes, and still
 *   forwards data to the client.
 */
class Relay
{
public:
  Relay(event_base* aBase,
        const std::string& aAddress,
        const std::string& aTarget,
        const std::string& aControl,
        Microseconds aDelay);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  bool IsListening() const { return listener_ && control_.IsListening(); }

private:
  friend struct RelayCallbacks;
  struct Connection;
  struct Endpoint;

  void Accept(evutil_socket_t aSocket);
  void Forward(Endpoint& aEndpoint);
  /** Forwards the data that was held back in the mode one_way. */
  void WriteHeldData();
  void Close(Connection* aConnection);
  void OnControl(const std::shared_ptr<Exchange>& aExchange);

  event_base* base_;
  std::string target_;
  Microseconds delay_;
  bool isCut_ = false;
  bool isOneWay_ = false;
  evconnlistener* listener_;
  std::set<std::shared_ptr<Connection>> connections_;
  StandInServer control_;
};

}

#endif
