#ifndef Libraries_LibService_ClientConnections_h
#define Libraries_LibService_ClientConnections_h

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibService/ClientLimits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace vanillaworks::service {

using ConnectionId = StrongType<std::uint64_t, struct ConnectionIdTag>;

/** Why a client's connection is closed. */
enum class ClientCloseReason : std::uint8_t
{
  TooManyConnections,
  TooManyPendingBytes
};

/** Thread safe. */
constexpr std::string_view
ClientCloseReasonName(ClientCloseReason aReason)
{
  return aReason == ClientCloseReason::TooManyConnections ? "connections"
                                                          : "pending_bytes";
}

/**
 * Decides which client connection is closed when a limit is exceeded. Protects
 * against many clients that open connections, or send requests, without ever
 * completing an exchange. Of too many connections, those whose request waits
 * for its response are closed last. Not thread safe.
 */
class ClientConnections
{
public:
  struct Excess
  {
    ConnectionId connection;
    ClientCloseReason reason;
  };

  explicit ClientConnections(ClientLimits aLimits)
    : limits_(aLimits)
  {
  }

  const ClientLimits& Limits() const { return limits_; }
  ConnectionId Add(MonotonicTime aNow);
  /** Records bytes that were received and are not yet released. */
  void AddPendingBytes(ConnectionId aConnection,
                       std::size_t aBytes,
                       MonotonicTime aNow);
  /** Sets the bytes that the connection holds now. */
  void SetPendingBytes(ConnectionId aConnection, std::size_t aBytes);
  /** Records that a request is complete and waits for its response. */
  void OnRequest(ConnectionId aConnection);
  void OnReplied(ConnectionId aConnection, MonotonicTime aNow);
  void Remove(ConnectionId aConnection);

  /**
   * Removes and returns a connection to close while a limit is exceeded: of
   * too many, the one that was active least recently; of too many bytes, the
   * one that holds the most. aMaxConnections: the limit in force now.
   */
  std::optional<Excess> TakeExcess(std::size_t aMaxConnections);

  std::size_t Count() const { return connections_.size(); }
  std::size_t PendingBytes() const { return pendingBytes_; }

private:
  struct Connection
  {
    std::size_t pendingBytes = 0;
    MonotonicTime activeAt;
    /** A request waits for its response. */
    bool isWaiting = false;
  };
  using Connections = std::map<ConnectionId, Connection>;

  ClientLimits limits_;
  Connections connections_;
  std::size_t pendingBytes_ = 0;
  std::uint64_t nextId_ = 1;
};

}

#endif
