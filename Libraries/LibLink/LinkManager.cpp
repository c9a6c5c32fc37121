#include "LibLink/LinkManager.h"

#include "LibCore/DescriptorLimit.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillaworks::link {

namespace {
/** Share of the process's descriptors for handshakes by default: 1/4. */
constexpr std::size_t kHandshakeShareDivisor = 4;

void
SetNoDelay(evutil_socket_t aSocket)
{
  int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

struct ParsedAddress
{
  sockaddr_storage storage{};
  int length = sizeof(sockaddr_storage);

  sockaddr* Get() { return reinterpret_cast<sockaddr*>(&storage); }
};

std::optional<ParsedAddress>
ParseAddress(const std::string& aAddress)
{
  ParsedAddress parsed;
  if (evutil_parse_sockaddr_port(
        aAddress.c_str(), parsed.Get(), &parsed.length) != 0) {
    return {};
  }
  return parsed;
}
}

struct LinkManagerCallbacks
{
  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aManager)
  {
    auto* manager = static_cast<LinkManager*>(aManager);
    SetNoDelay(aSocket);
    auto* connection =
      bufferevent_socket_new(manager->base_, aSocket, BEV_OPT_CLOSE_ON_FREE);
    auto id = manager->AddLink(connection, LinkDirection::Inbound);
    manager->handshakes_.insert(id);
    manager->LimitHandshakes();
  }

  static void OnDeferred(evutil_socket_t, short, void* aManager)
  {
    static_cast<LinkManager*>(aManager)->RunDeferred();
  }
};

LinkManager::LinkManager(event_base* aBase,
                         LinkLimits aLimits,
                         LinkObserver& aObserver)
  : base_(aBase)
  , limits_(aLimits)
  , observer_(aObserver)
  , deferredEvent_(
      event_new(aBase, -1, 0, &LinkManagerCallbacks::OnDeferred, this))
{
}

LinkManager::~LinkManager()
{
  links_.clear();
  event_free(deferredEvent_);
  if (listener_) {
    evconnlistener_free(listener_);
  }
}

Result<Success, ListenError>
LinkManager::Listen(const std::string& aAddress)
{
  constexpr int kBacklog = 1024;
  auto address = ParseAddress(aAddress);
  if (!address) {
    return Failure{ ListenError::BadAddress };
  }
  listener_ = evconnlistener_new_bind(base_,
                                      &LinkManagerCallbacks::OnAccept,
                                      this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      kBacklog,
                                      address->Get(),
                                      address->length);
  if (!listener_) {
    return Failure{ ListenError::CannotBind };
  }
  return Success{};
}

std::optional<LinkId>
LinkManager::Connect(const std::string& aAddress)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return {};
  }
  auto* connection = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  auto id = AddLink(connection, LinkDirection::Outbound);
  if (bufferevent_socket_connect(connection, address->Get(), address->length) !=
      0) {
    ScheduleClose(id, LinkCloseReason::Remote);
    return id;
  }
  SetNoDelay(bufferevent_getfd(connection));
  return id;
}

LinkId
LinkManager::AddLink(bufferevent* aConnection, LinkDirection aDirection)
{
  LinkId id(nextLinkId_++);
  links_.emplace(
    id, std::make_unique<Link>(*this, id, aDirection, limits_, aConnection));
  return id;
}

void
LinkManager::Send(LinkId aLink, const protocol::Frame& aFrame)
{
  auto found = links_.find(aLink);
  if (found == links_.end()) {
    return;
  }
  auto before = found->second->BytesSent();
  found->second->Send(aFrame);
  bytesSent_ += found->second->BytesSent() - before;
  ++framesSent_;
}

void
LinkManager::Close(LinkId aLink)
{
  if (links_.contains(aLink)) {
    ScheduleClose(aLink, LinkCloseReason::Local);
  }
}

void
LinkManager::LimitHandshakes()
{
  auto limit = limits_.maxHandshakes > 0
                 ? limits_.maxHandshakes
                 : DescriptorLimit() / kHandshakeShareDivisor;
  while (handshakes_.size() > limit) {
    ScheduleClose(*handshakes_.begin(), LinkCloseReason::Local);
    handshakes_.erase(handshakes_.begin());
    // No more are accepted before the descriptors of these are free.
    evconnlistener_disable(listener_);
  }
}

void
LinkManager::NotifyUp(Link& aLink)
{
  handshakes_.erase(aLink.Id());
  observer_.OnLinkUp(aLink.Id(), aLink.Direction());
}

void
LinkManager::NotifyFrame(Link& aLink, protocol::Frame aFrame)
{
  if (pendingCloses_.contains(aLink.Id())) {
    return;
  }
  ++framesReceived_;
  observer_.OnLinkFrame(aLink.Id(), std::move(aFrame));
}

void
LinkManager::ScheduleFlush(LinkId aLink)
{
  pendingFlushes_.push_back(aLink);
  event_active(deferredEvent_, EV_TIMEOUT, 0);
}

void
LinkManager::ScheduleClose(LinkId aLink, LinkCloseReason aReason)
{
  pendingCloses_.emplace(aLink, aReason);
  event_active(deferredEvent_, EV_TIMEOUT, 0);
}

void
LinkManager::RunDeferred()
{
  auto flushes = std::move(pendingFlushes_);
  pendingFlushes_.clear();
  for (auto id : flushes) {
    auto found = links_.find(id);
    if (found != links_.end()) {
      found->second->Flush();
    }
  }
  auto closes = std::move(pendingCloses_);
  pendingCloses_.clear();
  for (const auto& [id, reason] : closes) {
    auto found = links_.find(id);
    if (found == links_.end()) {
      continue;
    }
    links_.erase(found);
    handshakes_.erase(id);
    observer_.OnLinkDown(id, reason);
  }
  if (listener_) {
    evconnlistener_enable(listener_);
  }
}

}
