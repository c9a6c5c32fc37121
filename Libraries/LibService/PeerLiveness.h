#ifndef Libraries_LibService_PeerLiveness_h
#define Libraries_LibService_PeerLiveness_h

#include "LibCore/Time.h"
#include "LibProtocol/Header.h"

#include <cstdint>

namespace vanillaworks::service {

/**
 * Tracks the liveness of a link in both directions: when the last frame was
 * received from the peer, when the last one was sent, and the peer's send time,
 * which headers echo. Not thread safe.
 */
class PeerLiveness
{
public:
  explicit PeerLiveness(MonotonicTime aNow)
    : sentAt_(aNow)
    , receivedAt_(aNow)
  {
  }

  /** Records a sent frame and returns the header for it. */
  protocol::Header Send(std::uint64_t aControlRevision, MonotonicTime aNow)
  {
    sentAt_ = aNow;
    protocol::Header header;
    header.sentAt = ToMicroseconds(aNow);
    header.echo = peerSentAt_;
    header.controlRevision = aControlRevision;
    return header;
  }
  /** Records a received frame. */
  void OnHeaderReceived(const protocol::Header& aHeader, MonotonicTime aNow)
  {
    receivedAt_ = aNow;
    peerSentAt_ = aHeader.sentAt;
  }
  /** Restarts the silence timeout after link setup or a handled timeout. */
  void Restart(MonotonicTime aNow) { receivedAt_ = aNow; }

  bool IsSilent(Milliseconds aTimeout, MonotonicTime aNow) const
  {
    return aNow - receivedAt_ > aTimeout;
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
