#include "LibLink/LinkHub.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillaworks::link {

namespace {
void
SetNoDelay(evutil_socket_t aSocket)
{
  int one = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
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

struct HubCallbacks
{
  static void OnAccept(evconnlistener*,
                       evutil_socket_t aSocket,
                       sockaddr*,
                       int,
                       void* aHub)
  {
    auto* hub = static_cast<LinkHub*>(aHub);
    SetNoDelay(aSocket);
    auto* connection =
      bufferevent_socket_new(hub->base_, aSocket, BEV_OPT_CLOSE_ON_FREE);
    hub->Add(connection, LinkRole::Accepted);
  }

  static void OnScheduled(evutil_socket_t, short, void* aHub)
  {
    static_cast<LinkHub*>(aHub)->RunScheduled();
  }
};

LinkHub::LinkHub(event_base* aBase, LinkLimits aLimits, LinkObserver& aObserver)
  : base_(aBase)
  , limits_(aLimits)
  , observer_(aObserver)
  , scheduled_(event_new(aBase, -1, 0, &HubCallbacks::OnScheduled, this))
{
}

LinkHub::~LinkHub()
{
  links_.clear();
  event_free(scheduled_);
  if (listener_) {
    evconnlistener_free(listener_);
  }
}

Result<Success, ListenError>
LinkHub::Listen(const std::string& aAddress)
{
  constexpr int kBacklog = 1024;
  auto address = ParseAddress(aAddress);
  if (!address) {
    return Failure{ ListenError::BadAddress };
  }
  listener_ = evconnlistener_new_bind(base_,
                                      &HubCallbacks::OnAccept,
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
LinkHub::Dial(const std::string& aAddress)
{
  auto address = ParseAddress(aAddress);
  if (!address) {
    return {};
  }
  auto* connection = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  auto id = Add(connection, LinkRole::Dialled);
  if (bufferevent_socket_connect(connection, address->Get(), address->length) !=
      0) {
    ScheduleClose(id, LinkCloseReason::Remote);
    return id;
  }
  SetNoDelay(bufferevent_getfd(connection));
  return id;
}

LinkId
LinkHub::Add(bufferevent* aConnection, LinkRole aRole)
{
  LinkId id(nextLink_++);
  links_.emplace(
    id, std::make_unique<Link>(*this, id, aRole, limits_, aConnection));
  return id;
}

void
LinkHub::Send(LinkId aLink, const protocol::Frame& aFrame)
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
LinkHub::Close(LinkId aLink)
{
  if (links_.contains(aLink)) {
    ScheduleClose(aLink, LinkCloseReason::Local);
  }
}

void
LinkHub::OnUp(Link& aLink)
{
  observer_.OnLinkUp(aLink.Id(), aLink.Role());
}

void
LinkHub::OnFrame(Link& aLink, protocol::Frame aFrame)
{
  if (closes_.contains(aLink.Id())) {
    return;
  }
  ++framesReceived_;
  observer_.OnLinkFrame(aLink.Id(), std::move(aFrame));
}

void
LinkHub::ScheduleFlush(LinkId aLink)
{
  flushes_.push_back(aLink);
  event_active(scheduled_, EV_TIMEOUT, 0);
}

void
LinkHub::ScheduleClose(LinkId aLink, LinkCloseReason aReason)
{
  closes_.emplace(aLink, aReason);
  event_active(scheduled_, EV_TIMEOUT, 0);
}

void
LinkHub::RunScheduled()
{
  auto flushes = std::move(flushes_);
  flushes_.clear();
  for (auto id : flushes) {
    auto found = links_.find(id);
    if (found != links_.end()) {
      found->second->Flush();
    }
  }
  auto closes = std::move(closes_);
  closes_.clear();
  for (const auto& [id, reason] : closes) {
    auto found = links_.find(id);
    if (found == links_.end()) {
      continue;
    }
    links_.erase(found);
    observer_.OnLinkDown(id, reason);
  }
}

}
