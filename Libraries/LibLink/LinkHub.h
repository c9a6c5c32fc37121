#ifndef Libraries_LibLink_LinkHub_h
#define Libraries_LibLink_LinkHub_h

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
#include <string>
#include <vector>

namespace vanillaworks::link {

enum class ListenError : std::uint8_t
{
  BadAddress,
  CannotBind
};

/** All links of a process. Lives on the event loop's thread. */
class LinkHub
{
public:
  LinkHub(event_base* aBase, LinkLimits aLimits, LinkObserver& aObserver);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  /** aAddress: "host:port" with a numeric host. */
  Result<Success, ListenError> Listen(const std::string& aAddress);

  /** One try; OnLinkUp or OnLinkDown follows. Nothing for a bad address. */
  std::optional<LinkId> Dial(const std::string& aAddress);

  /** A closed link's frames are dropped. */
  void Send(LinkId aLink, const protocol::Frame& aFrame);
  /** OnLinkDown follows in a later turn of the loop. */
  void Close(LinkId aLink);

  std::uint64_t BytesSent() const { return bytesSent_; }
  std::uint64_t BytesReceived() const { return bytesReceived_; }
  std::uint64_t FramesSent() const { return framesSent_; }
  std::uint64_t FramesReceived() const { return framesReceived_; }

private:
  friend class Link;
  friend struct HubCallbacks;

  LinkId Add(bufferevent* aConnection, LinkRole aRole);
  void OnUp(Link& aLink);
  void OnFrame(Link& aLink, protocol::Frame aFrame);
  void ScheduleFlush(LinkId aLink);
  void ScheduleClose(LinkId aLink, LinkCloseReason aReason);
  void RunScheduled();

  event_base* base_;
  LinkLimits limits_;
  LinkObserver& observer_;
  evconnlistener* listener_ = nullptr;
  event* scheduled_ = nullptr;
  std::map<LinkId, std::unique_ptr<Link>> links_;
  std::vector<LinkId> flushes_;
  std::map<LinkId, LinkCloseReason> closes_;
  std::uint64_t nextLink_ = 1;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
  std::uint64_t framesSent_ = 0;
  std::uint64_t framesReceived_ = 0;
};

}

#endif
