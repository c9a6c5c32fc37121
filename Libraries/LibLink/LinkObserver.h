#ifndef Libraries_LibLink_LinkObserver_h
#define Libraries_LibLink_LinkObserver_h

#include "LibLink/LinkCloseReason.h"
#include "LibLink/LinkId.h"
#include "LibProtocol/Frame.h"

namespace vanillaworks::link {

/** Which side opened the connection: this process or the peer. */
enum class LinkDirection : std::uint8_t
{
  Outbound,
  Inbound
};

/** Receives link events. All calls come on the event loop's thread. */
class LinkObserver
{
public:
  virtual ~LinkObserver() = default;

  virtual void OnLinkUp(LinkId aLink, LinkDirection aDirection) = 0;
  virtual void OnLinkFrame(LinkId aLink, protocol::Frame aFrame) = 0;
  /**
   * The last call for that link. Also called for an outbound link whose
   * connection attempt failed, without an OnLinkUp before it.
   */
  virtual void OnLinkDown(LinkId aLink, LinkCloseReason aReason) = 0;
};

}

#endif
