#include "Tests/StandIns/Relay.h"

#include <deque>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaworks::standins {

struct Relay::Side
{
  Relay* relay;
  Pair* pair;
  bufferevent* from;
  Side* other;
  /** What was read and is on its way, in order. */
  std::deque<std::string> onTheWay;
};

struct Relay::Pair
{
  Side client;
  Side target;
  bool silent = false;
  bool closed = false;

  ~Pair()
  {
    bufferevent_free(client.from);
    bufferevent_free(target.from);
  }
};

struct RelayCallbacks
{
  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aRelay)
  {
    static_cast<Relay*>(aRelay)->Accept(aSocket);
  }
  static void OnRead(bufferevent*, void* aSide)
  {
    auto* side = static_cast<Relay::Side*>(aSide);
    side->relay->Forward(*side);
  }
  static void OnEvent(bufferevent*, short aEvents, void* aSide)
  {
    auto* side = static_cast<Relay::Side*>(aSide);
    if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 &&
        !side->pair->silent) {
      side->relay->Close(side->pair);
    }
  }
};

namespace {
struct Address
{
  sockaddr_storage storage{};
  int length = sizeof(sockaddr_storage);
  sockaddr* Get() { return reinterpret_cast<sockaddr*>(&storage); }
};

Address
Parse(const std::string& aAddress)
{
  Address address;
  evutil_parse_sockaddr_port(aAddress.c_str(), address.Get(), &address.length);
  return address;
}

void
SetNoDelay(evutil_socket_t aSocket)
{
  int one = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}
}

Relay::Relay(event_base* aBase,
             const std::string& aAddress,
             const std::string& aTarget,
             const std::string& aControl,
             Microseconds aDelay)
  : base_(aBase)
  , target_(aTarget)
  , delay_(aDelay)
  , control_(aBase, aControl, [this](std::shared_ptr<Exchange> aExchange) {
    OnControl(aExchange);
  })
{
  constexpr int kBacklog = 512;
  auto address = Parse(aAddress);
  listener_ = evconnlistener_new_bind(aBase,
                                      &RelayCallbacks::OnAccept,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      kBacklog,
                                      address.Get(),
                                      address.length);
}

Relay::~Relay()
{
  if (listener_) {
    evconnlistener_free(listener_);
  }
}

void
Relay::Accept(evutil_socket_t aSocket)
{
  if (cut_) {
    ::close(aSocket);
    return;
  }
  SetNoDelay(aSocket);
  auto pair = std::make_shared<Pair>();
  auto* from = bufferevent_socket_new(base_, aSocket, BEV_OPT_CLOSE_ON_FREE);
  auto* to = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  pair->client = { this, pair.get(), from, &pair->target, {} };
  pair->target = { this, pair.get(), to, &pair->client, {} };
  pairs_.insert(pair);
  for (auto* side : { &pair->client, &pair->target }) {
    bufferevent_setcb(side->from,
                      &RelayCallbacks::OnRead,
                      nullptr,
                      &RelayCallbacks::OnEvent,
                      side);
    bufferevent_enable(side->from, EV_READ | EV_WRITE);
  }
  auto address = Parse(target_);
  if (bufferevent_socket_connect(to, address.Get(), address.length) != 0) {
    return Close(pair.get());
  }
  SetNoDelay(bufferevent_getfd(to));
}

void
Relay::Forward(Side& aSide)
{
  auto* input = bufferevent_get_input(aSide.from);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (aSide.pair->silent) {
    return;
  }
  std::weak_ptr<Pair> weak;
  for (const auto& pair : pairs_) {
    if (pair.get() == aSide.pair) {
      weak = pair;
    }
  }
  bool toTarget = &aSide == &aSide.pair->client;
  aSide.onTheWay.push_back(std::move(bytes));
  if (oneWay_ && toTarget) {
    return;
  }
  // Timers of one time may run in any order, so each takes what came first.
  auto write = [weak, toTarget] {
    auto pair = weak.lock();
    if (!pair || pair->silent || pair->closed) {
      return;
    }
    auto& from = toTarget ? pair->client : pair->target;
    if (from.onTheWay.empty()) {
      return;
    }
    const auto& first = from.onTheWay.front();
    bufferevent_write(from.other->from, first.data(), first.size());
    from.onTheWay.pop_front();
  };
  if (delay_.count() == 0) {
    return write();
  }
  control_.After(delay_, std::move(write));
}

void
Relay::Release()
{
  for (const auto& pair : pairs_) {
    auto& kept = pair->client.onTheWay;
    bool isOpen = !pair->silent && !pair->closed;
    while (isOpen && !kept.empty()) {
      bufferevent_write(
        pair->target.from, kept.front().data(), kept.front().size());
      kept.pop_front();
    }
  }
}

void
Relay::Close(Pair* aPair)
{
  aPair->closed = true;
  // The connections are freed outside their own callbacks.
  control_.After(Microseconds(0), [this, aPair] {
    std::erase_if(pairs_,
                  [aPair](const auto& aItem) { return aItem.get() == aPair; });
  });
}

void
Relay::OnControl(const std::shared_ptr<Exchange>& aExchange)
{
  constexpr int kOk = 200;
  auto body = nlohmann::json::parse(aExchange->Body(), nullptr, false);
  auto mode = body.is_object() ? body.value("mode", "") : std::string();
  cut_ = mode == "cut";
  bool wasOneWay = oneWay_;
  oneWay_ = mode == "one_way";
  if (wasOneWay && !oneWay_) {
    Release();
  }
  for (const auto& pair : pairs_) {
    if (mode == "cut" && !pair->closed) {
      Close(pair.get());
    }
    pair->silent = pair->silent || mode == "silence";
  }
  aExchange->Reply(kOk, "");
}

}
