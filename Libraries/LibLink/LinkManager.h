#ifndef Libraries_LibLink_LinkManager_h
#define Libraries_LibLink_LinkManager_h

#include "LibCore/Result.h"
#include "LibCore/Time.h"
#include "LibLink/Forward.h"
#include "LibLink/Link.h"
#include "LibLink/LinkLimits.h"
#include "LibLink/LinkObserver.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::link {

enum class ListenError : std::uint8_t
{
  BadAddress,
  CannotBind
};

/**
 * Owns all links of a process: accepts and opens connections, sends frames and
 * reports link events to the observer. Must be used on the event loop's thread
 * only.
 */
class LinkManager
{
public:
  /** aBase and aObserver must outlive the manager. */
  LinkManager(event_base* aBase, LinkLimits aLimits, LinkObserver& aObserver);
  ~LinkManager();
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  /** Accepts links on aAddress, "host:port" with a numeric host. */
  Result<Success, ListenError> Listen(const std::string& aAddress);

  /**
   * Makes one connection attempt to aAddress, "host:port" with a numeric host;
   * OnLinkUp or OnLinkDown follows. Returns nothing if the address is invalid.
   */
  std::optional<LinkId> Connect(const std::string& aAddress);

  /** Queues the frame; drops it if the link is closed. */
  void Send(LinkId aLink, const protocol::Frame& aFrame);
  /** OnLinkDown follows in a later iteration of the event loop. */
  void Close(LinkId aLink);

  std::uint64_t BytesSent() const { return bytesSent_; }
  std::uint64_t BytesReceived() const { return bytesReceived_; }
  std::uint64_t FramesSent() const { return framesSent_; }
  std::uint64_t FramesReceived() const { return framesReceived_; }

private:
  friend class Link;
  friend struct LinkManagerCallbacks;

  LinkId AddLink(bufferevent* aConnection, LinkDirection aDirection);
  /** Closes the oldest accepted connections that have opened no link. */
  void LimitHandshakes();
  void NotifyUp(Link& aLink);
  void NotifyFrame(Link& aLink, protocol::Frame aFrame);
  void ScheduleFlush(LinkId aLink);
  void ScheduleClose(LinkId aLink, LinkCloseReason aReason);
  void RunDeferred();

  event_base* base_;
  LinkLimits limits_;
  LinkObserver& observer_;
  evconnlistener* listener_ = nullptr;
  event* deferredEvent_ = nullptr;
  std::map<LinkId, std::unique_ptr<Link>> links_;
  /** Accepted connections without an open link, the oldest first. */
  std::set<LinkId> handshakes_;
  std::vector<LinkId> pendingFlushes_;
  std::map<LinkId, LinkCloseReason> pendingCloses_;
  std::uint64_t nextLinkId_ = 1;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
};

}

#endif
