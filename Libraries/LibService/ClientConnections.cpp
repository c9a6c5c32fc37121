#include "LibService/ClientConnections.h"

#include <algorithm>
#include <tuple>

namespace vanillaworks::service {

ConnectionId
ClientConnections::Add(MonotonicTime aNow)
{
  ConnectionId id(nextId_++);
  connections_[id].activeAt = aNow;
  return id;
}

void
ClientConnections::AddPendingBytes(ConnectionId aConnection,
                                   std::size_t aBytes,
                                   MonotonicTime aNow)
{
  auto found = connections_.find(aConnection);
  if (found != connections_.end()) {
    found->second.activeAt = aNow;
    SetPendingBytes(aConnection, found->second.pendingBytes + aBytes);
  }
}

void
ClientConnections::SetPendingBytes(ConnectionId aConnection, std::size_t aBytes)
{
  auto found = connections_.find(aConnection);
  if (found != connections_.end()) {
    pendingBytes_ -= found->second.pendingBytes;
    pendingBytes_ += aBytes;
    found->second.pendingBytes = aBytes;
  }
}

void
ClientConnections::OnRequest(ConnectionId aConnection)
{
  auto found = connections_.find(aConnection);
  if (found != connections_.end()) {
    found->second.isWaiting = true;
  }
}

void
ClientConnections::OnReplied(ConnectionId aConnection, MonotonicTime aNow)
{
  auto found = connections_.find(aConnection);
  if (found != connections_.end()) {
    found->second.isWaiting = false;
    found->second.activeAt = aNow;
  }
}

void
ClientConnections::Remove(ConnectionId aConnection)
{
  auto found = connections_.find(aConnection);
  if (found != connections_.end()) {
    pendingBytes_ -= found->second.pendingBytes;
    connections_.erase(found);
  }
}

std::optional<ClientConnections::Excess>
ClientConnections::TakeExcess(std::size_t aMaxConnections)
{
  bool isOverCount = connections_.size() > aMaxConnections;
  auto maxPendingBytes = limits_.maxPendingBytes / limits_.eventLoops;
  if (!isOverCount && pendingBytes_ <= maxPendingBytes) {
    return {};
  }
  auto closesFirst = [isOverCount](const Connections::value_type& aOne,
                                   const Connections::value_type& aOther) {
    const auto& one = aOne.second;
    const auto& other = aOther.second;
    // Closing a connection frees the bytes that it holds, so that only these
    // count if there are too many.
    if (!isOverCount && one.pendingBytes != other.pendingBytes) {
      return one.pendingBytes > other.pendingBytes;
    }
    return std::tie(one.isWaiting, one.activeAt, aOne.first) <
           std::tie(other.isWaiting, other.activeAt, aOther.first);
  };
  auto chosen =
    std::min_element(connections_.begin(), connections_.end(), closesFirst);
  Excess excess{ chosen->first,
                 isOverCount ? ClientCloseReason::TooManyConnections
                             : ClientCloseReason::TooManyPendingBytes };
  Remove(excess.connection);
  return excess;
}

}
