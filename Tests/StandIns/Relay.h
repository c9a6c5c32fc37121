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
 * Passes TCP connections on with a delay each way. "POST /control" on its
 * control address sets {"mode":"pass"|"cut"|"silence"|"one_way"}: cut closes
 * all and takes no new ones; silence makes what is open now pass nothing for
 * good, while new connections work; one_way keeps what goes to the target until
 * the mode changes.
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
  struct Pair;
  struct Side;

  void Accept(evutil_socket_t aSocket);
  void Forward(Side& aSide);
  /** Passes on what was kept. */
  void Release();
  void Close(Pair* aPair);
  void OnControl(const std::shared_ptr<Exchange>& aExchange);

  event_base* base_;
  std::string target_;
  Microseconds delay_;
  bool cut_ = false;
  bool oneWay_ = false;
  evconnlistener* listener_;
  std::set<std::shared_ptr<Pair>> pairs_;
  StandInServer control_;
};

}

#endif
