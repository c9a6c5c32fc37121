#include "LibService/ClientRegistry.h"

#include "LibCore/DescriptorLimit.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <vector>

namespace vanillaworks::service {

namespace {
/** Share of the process's descriptors that clients may use: 5/8. */
constexpr std::size_t kDescriptorShareNumerator = 5;
constexpr std::size_t kDescriptorShareDivisor = 8;

/** Whether the server has freed the connection; only the registry has it. */
bool
IsFreed(bufferevent* aConnection)
{
  bufferevent_data_cb onRead = nullptr;
  bufferevent_data_cb onWrite = nullptr;
  bufferevent_event_cb onEvent = nullptr;
  void* context = nullptr;
  bufferevent_getcb(aConnection, &onRead, &onWrite, &onEvent, &context);
  // bufferevent_free() clears the callbacks; a server always has one for
  // events, but not before it has set the socket.
  return !onEvent && bufferevent_getfd(aConnection) >= 0;
}

/** Bounds the responses that a client which doesn't read can ask for. */
void
LimitSendBuffer(bufferevent* aConnection)
{
  constexpr int kSendBufferBytes = 128 * 1024;
  setsockopt(bufferevent_getfd(aConnection),
             SOL_SOCKET,
             SO_SNDBUF,
             &kSendBufferBytes,
             sizeof(kSendBufferBytes));
}

/** The server then sees the end of the connection and frees it. */
void
ShutDown(bufferevent* aConnection)
{
  auto socket = bufferevent_getfd(aConnection);
  if (socket < 0) {
    return;
  }
  shutdown(socket, SHUT_RDWR);
  // What the kernel has received already would still be read.
  constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1 } << 24U;
  while (recv(socket, nullptr, kMaxDiscardedBytes, MSG_TRUNC | MSG_DONTWAIT) >
         0) {
  }
}
}

ClientRegistry::ClientRegistry(ClientLimits aLimits, OnClosed aOnClosed)
  : connections_(aLimits)
  , onClosed_(std::move(aOnClosed))
{
}

ClientRegistry::~ClientRegistry()
{
  for (const auto& item : clients_) {
    bufferevent_decref(item.first);
  }
}

bufferevent*
ClientRegistry::Open(event_base* aBase, std::size_t aMaxUnreadBytes)
{
  auto* connection = bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE);
  if (!connection) {
    return nullptr;
  }
  bufferevent_setwatermark(connection, EV_READ, 0, aMaxUnreadBytes);
  // Keeps the socket from being reused while the registry may shut it down.
  bufferevent_incref(connection);
  auto client = std::make_unique<Client>(
    Client{ this, connection, connections_.Add(MonotonicNow()) });
  evbuffer_add_cb(
    bufferevent_get_input(connection), &ClientRegistry::OnInput, client.get());
  clientsById_[client->id] = client.get();
  clients_.emplace(connection, std::move(client));
  if (connections_.Count() > MaxConnections()) {
    ReleaseClosed();
  }
  Enforce();
  return connection;
}

void
ClientRegistry::OnInput(evbuffer*, const evbuffer_cb_info* aInfo, void* aClient)
{
  auto& client = *static_cast<Client*>(aClient);
  if (aInfo->n_added == 0) {
    return;
  }
  if (client.isClosing) {
    ShutDown(client.connection);
    return;
  }
  if (!client.hasReceived) {
    client.hasReceived = true;
    LimitSendBuffer(client.connection);
  }
  client.registry->AddPendingBytes(client, aInfo->n_added);
}

void
ClientRegistry::AddPendingBytes(Client& aClient, std::size_t aBytes)
{
  auto now = MonotonicNow();
  connections_.AddPendingBytes(aClient.id, aBytes, now);
  Enforce();
}

void
ClientRegistry::OnRequest(bufferevent* aConnection, std::size_t aBodyBytes)
{
  auto* client = Find(aConnection);
  if (!client) {
    return;
  }
  auto unread = evbuffer_get_length(bufferevent_get_input(aConnection));
  connections_.OnRequest(client->id);
  connections_.SetPendingBytes(client->id, unread + aBodyBytes);
}

void
ClientRegistry::OnBodyReleased(bufferevent* aConnection)
{
  auto* client = Find(aConnection);
  if (client) {
    connections_.SetPendingBytes(
      client->id, evbuffer_get_length(bufferevent_get_input(aConnection)));
  }
}

void
ClientRegistry::OnReplied(bufferevent* aConnection)
{
  auto* client = Find(aConnection);
  if (client) {
    OnBodyReleased(aConnection);
    connections_.OnReplied(client->id, MonotonicNow());
  }
}

void
ClientRegistry::ReleaseClosed()
{
  std::vector<bufferevent*> freed;
  for (const auto& [connection, client] : clients_) {
    if (IsFreed(connection)) {
      freed.push_back(connection);
    } else if (client->isClosing) {
      // It was chosen before it had a socket, or the peer still sends.
      ShutDown(connection);
    }
  }
  for (auto* connection : freed) {
    auto found = clients_.find(connection);
    connections_.Remove(found->second->id);
    clientsById_.erase(found->second->id);
    evbuffer_remove_cb(bufferevent_get_input(connection),
                       &ClientRegistry::OnInput,
                       found->second.get());
    clients_.erase(found);
    bufferevent_decref(connection);
  }
}

void
ClientRegistry::Enforce()
{
  auto maxConnections = MaxConnections();
  while (auto excess = connections_.TakeExcess(maxConnections)) {
    auto* client = clientsById_.at(excess->connection);
    client->isClosing = true;
    ShutDown(client->connection);
    onClosed_(excess->reason);
  }
}

std::size_t
ClientRegistry::MaxConnections() const
{
  const auto& limits = connections_.Limits();
  auto all =
    limits.maxConnections > 0
      ? limits.maxConnections
      : DescriptorLimit() / kDescriptorShareDivisor * kDescriptorShareNumerator;
  return std::max<std::size_t>(all / limits.eventLoops, 1);
}

ClientRegistry::Client*
ClientRegistry::Find(bufferevent* aConnection)
{
  auto found = clients_.find(aConnection);
  return found == clients_.end() ? nullptr : found->second.get();
}

}
