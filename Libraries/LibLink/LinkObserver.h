#ifndef Libraries_LibLink_LinkObserver_h
#define Libraries_LibLink_LinkObserver_h

#include "LibLink/LinkCloseReason.h"
#include "LibLink/LinkId.h"
#include "LibProtocol/Frame.h"

namespace vanillaworks::link {

/** Who made the connection. */
enum class LinkRole : std::uint8_t
{
  Dialled,
  Accepted
};

/** Gets what happens on links; called on the event loop's thread. */
class LinkObserver
{
public:
  virtual ~LinkObserver() = default;

  virtual void OnLinkUp(LinkId aLink, LinkRole aRole) = 0;
  virtual void OnLinkFrame(LinkId aLink, protocol::Frame aFrame) = 0;
  /** Last call for that link; also for one that never came up. */
  virtual void OnLinkDown(LinkId aLink, LinkCloseReason aReason) = 0;
};

}

#endif
