#ifndef Libraries_LibService_ClientRegistry_h
#define Libraries_LibService_ClientRegistry_h

#include "LibService/ClientConnections.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;

namespace vanillaworks::service {

/**
 * Tracks the client connections of all HTTP servers on one event loop, bounds
 * what is read from each, and closes those that ClientConnections chooses. Used
 * only on the event loop's thread. Must outlive the servers.
 */
class ClientRegistry
{
public:
  using OnClosed = std::function<void(ClientCloseReason)>;

  /** aOnClosed is called for each connection that a limit has closed. */
  ClientRegistry(ClientLimits aLimits, OnClosed aOnClosed);
  ~ClientRegistry();
  ClientRegistry(const ClientRegistry&) = delete;
  ClientRegistry& operator=(const ClientRegistry&) = delete;

  /**
   * Returns the tracked bufferevent of a new connection, without a socket.
   * aMaxUnreadBytes: bytes that are read ahead of the request in progress; what
   * a client sends beyond them stays in its socket. Must exceed the largest
   * request, of which libevent hands on nothing before it is complete.
   */
  bufferevent* Open(event_base* aBase, std::size_t aMaxUnreadBytes);
  /**
   * A request of the connection is complete. Its body counts as pending until
   * it is released or the response is sent.
   */
  void OnRequest(bufferevent* aConnection, std::size_t aBodyBytes);
  void OnBodyReleased(bufferevent* aConnection);
  /** The response to the request is being sent. */
  void OnReplied(bufferevent* aConnection);
  /**
   * Releases connections that their server has closed. libevent has no
   * notification of that for connections without a complete request, so this
   * must be called periodically.
   */
  void ReleaseClosed();

  std::size_t Count() const { return clients_.size(); }

private:
  struct Client
  {
    ClientRegistry* registry;
    bufferevent* connection;
    ConnectionId id;
    bool hasReceived = false;
    bool isClosing = false;
  };

  static void OnInput(evbuffer* aBuffer,
                      const evbuffer_cb_info* aInfo,
                      void* aClient);
  void AddPendingBytes(Client& aClient, std::size_t aBytes);
  /** Closes connections until no limit is exceeded. */
  void Enforce();
  std::size_t MaxConnections() const;
  Client* Find(bufferevent* aConnection);

  ClientConnections connections_;
  OnClosed onClosed_;
  std::unordered_map<bufferevent*, std::unique_ptr<Client>> clients_;
  std::map<ConnectionId, Client*> clientsById_;
};

}

#endif
