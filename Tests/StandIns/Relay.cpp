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

struct Relay::Endpoint
{
  Relay* relay;
  Connection* connection;
  bufferevent* stream;
  Endpoint* peer;
  /** Data that was read here but not yet written to the peer, in order. */
  std::deque<std::string> pendingChunks;
};

struct Relay::Connection
{
  Endpoint client;
  Endpoint target;
  bool isSilenced = false;
  bool isClosed = false;

  ~Connection()
  {
    bufferevent_free(client.stream);
    bufferevent_free(target.stream);
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
  static void OnRead(bufferevent*, void* aEndpoint)
  {
    auto* endpoint = static_cast<Relay::Endpoint*>(aEndpoint);
    endpoint->relay->Forward(*endpoint);
  }
  static void OnEvent(bufferevent*, short aEvents, void* aEndpoint)
  {
    auto* endpoint = static_cast<Relay::Endpoint*>(aEndpoint);
    if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0 &&
        !endpoint->connection->isSilenced) {
      endpoint->relay->Close(endpoint->connection);
    }
  }
};

namespace {
struct SocketAddress
{
  sockaddr_storage storage{};
  int length = sizeof(sockaddr_storage);
  sockaddr* Data() { return reinterpret_cast<sockaddr*>(&storage); }
};

SocketAddress
ParseAddress(const std::string& aAddress)
{
  SocketAddress address;
  evutil_parse_sockaddr_port(aAddress.c_str(), address.Data(), &address.length);
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
  auto address = ParseAddress(aAddress);
  listener_ = evconnlistener_new_bind(aBase,
                                      &RelayCallbacks::OnAccept,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      kBacklog,
                                      address.Data(),
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
  if (isCut_) {
    ::close(aSocket);
    return;
  }
  SetNoDelay(aSocket);
  auto connection = std::make_shared<Connection>();
  auto* clientStream =
    bufferevent_socket_new(base_, aSocket, BEV_OPT_CLOSE_ON_FREE);
  auto* targetStream = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  connection->client = {
    this, connection.get(), clientStream, &connection->target, {}
  };
  connection->target = {
    this, connection.get(), targetStream, &connection->client, {}
  };
  connections_.insert(connection);
  for (auto* endpoint : { &connection->client, &connection->target }) {
    bufferevent_setcb(endpoint->stream,
                      &RelayCallbacks::OnRead,
                      nullptr,
                      &RelayCallbacks::OnEvent,
                      endpoint);
    bufferevent_enable(endpoint->stream, EV_READ | EV_WRITE);
  }
  auto address = ParseAddress(target_);
  if (bufferevent_socket_connect(
        targetStream, address.Data(), address.length) != 0) {
    return Close(connection.get());
  }
  SetNoDelay(bufferevent_getfd(targetStream));
}

void
Relay::Forward(Endpoint& aEndpoint)
{
  auto* input = bufferevent_get_input(aEndpoint.stream);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (aEndpoint.connection->isSilenced) {
    return;
  }
  std::weak_ptr<Connection> weakConnection;
  for (const auto& connection : connections_) {
    if (connection.get() == aEndpoint.connection) {
      weakConnection = connection;
    }
  }
  bool isToTarget = &aEndpoint == &aEndpoint.connection->client;
  aEndpoint.pendingChunks.push_back(std::move(bytes));
  if (isOneWay_ && isToTarget) {
    return;
  }
  // Timers that expire at the same time may run in any order, so each writes
  // the oldest chunk instead of its own.
  auto writeNextChunk = [weakConnection, isToTarget] {
    auto connection = weakConnection.lock();
    if (!connection || connection->isSilenced || connection->isClosed) {
      return;
    }
    auto& source = isToTarget ? connection->client : connection->target;
    if (source.pendingChunks.empty()) {
      return;
    }
    const auto& chunk = source.pendingChunks.front();
    bufferevent_write(source.peer->stream, chunk.data(), chunk.size());
    source.pendingChunks.pop_front();
  };
  if (delay_.count() == 0) {
    return writeNextChunk();
  }
  control_.RunAfter(delay_, std::move(writeNextChunk));
}

void
Relay::WriteHeldData()
{
  for (const auto& connection : connections_) {
    auto& heldChunks = connection->client.pendingChunks;
    bool isOpen = !connection->isSilenced && !connection->isClosed;
    while (isOpen && !heldChunks.empty()) {
      bufferevent_write(connection->target.stream,
                        heldChunks.front().data(),
                        heldChunks.front().size());
      heldChunks.pop_front();
    }
  }
}

void
Relay::Close(Connection* aConnection)
{
  if (aConnection->isClosed) {
    return;
  }
  aConnection->isClosed = true;
  // A timer frees the connection, so that no bufferevent is freed in its own
  // callback.
  control_.RunAfter(Microseconds(0), [this, aConnection] {
    std::erase_if(connections_, [aConnection](const auto& aItem) {
      return aItem.get() == aConnection;
    });
  });
}

void
Relay::OnControl(const std::shared_ptr<Exchange>& aExchange)
{
  constexpr int kOk = 200;
  auto body = nlohmann::json::parse(aExchange->Body(), nullptr, false);
  auto mode = body.is_object() ? body.value("mode", "") : std::string();
  isCut_ = mode == "cut";
  bool wasOneWay = isOneWay_;
  isOneWay_ = mode == "one_way";
  if (wasOneWay && !isOneWay_) {
    WriteHeldData();
  }
  for (const auto& connection : connections_) {
    if (mode == "cut" && !connection->isClosed) {
      Close(connection.get());
    }
    connection->isSilenced = connection->isSilenced || mode == "silence";
  }
  aExchange->Respond(kOk, "");
}

}
