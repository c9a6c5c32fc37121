#ifndef Libraries_LibService_PeerWatch_h
#define Libraries_LibService_PeerWatch_h

#include "LibCore/Time.h"
#include "LibProtocol/Header.h"

#include <cstdint>

namespace vanillaworks::service {

/**
 * Follows one link's signs of life both ways: when the peer was last heard,
 * when it was last sent something, and the send time that headers echo to it.
 * Not thread safe.
 */
class PeerWatch
{
public:
  explicit PeerWatch(MonotonicTime aNow)
    : sentAt_(aNow)
    , receivedAt_(aNow)
  {
  }

  /** The header of a frame that is sent now. */
  protocol::Header Send(std::uint64_t aControlRevision, MonotonicTime aNow)
  {
    sentAt_ = aNow;
    protocol::Header header;
    header.sentAt = ToMicroseconds(aNow);
    header.echo = peerSentAt_;
    header.controlRevision = aControlRevision;
    return header;
  }
  void Receive(const protocol::Header& aHeader, MonotonicTime aNow)
  {
    receivedAt_ = aNow;
    peerSentAt_ = aHeader.sentAt;
  }
  /** The link came up, or its silence has been dealt with. */
  void Restart(MonotonicTime aNow) { receivedAt_ = aNow; }

  bool IsSilent(Milliseconds aPatience, MonotonicTime aNow) const
  {
    return aNow - receivedAt_ > aPatience;
  }
  bool IsHeartbeatDue(Milliseconds aInterval, MonotonicTime aNow) const
  {
    return aNow - sentAt_ >= aInterval;
  }

private:
  MonotonicTime sentAt_;
  MonotonicTime receivedAt_;
  std::int64_t peerSentAt_ = 0;
};

}

#endif
