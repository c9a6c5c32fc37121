#ifndef Libraries_LibLink_Link_h
#define Libraries_LibLink_Link_h

#include "LibLink/Forward.h"
#include "LibLink/LinkLimits.h"
#include "LibLink/LinkObserver.h"
#include "LibProtocol/FrameCodec.h"

#include <cstdint>
#include <string>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace vanillaworks::link {

/**
 * A connection to another entry or agent: one HTTP/2 stream (RFC 9113) that
 * stays open in both directions and carries frames as DATA. Must be used on
 * the event loop's thread only.
 */
class Link
{
public:
  /** Takes ownership of aConnection, which may still be connecting. */
  Link(LinkManager& aManager,
       LinkId aId,
       LinkDirection aDirection,
       LinkLimits aLimits,
       bufferevent* aConnection);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /**
   * Queues the frame; it is flushed at the end of this event loop iteration.
   * Closes the link if the queue exceeds LinkLimits::maxQueuedBytes.
   */
  void Send(const protocol::Frame& aFrame);
  LinkId Id() const { return id_; }
  LinkDirection Direction() const { return direction_; }
  std::uint64_t BytesSent() const { return bytesSent_; }

  /** Writes queued frames to the connection. Called by the manager. */
  void Flush();

private:
  friend struct LinkCallbacks;

  void StartSession();
  void OpenStream();
  void AnswerStream(std::int32_t aStreamId);
  void OnReadable();
  void OnData(const std::uint8_t* aData, std::size_t aSize);
  void Fail(LinkCloseReason aReason);
  std::ptrdiff_t ReadOutbound(std::uint8_t* aBuffer,
                              std::size_t aLength,
                              std::uint32_t* aFlags);

  LinkManager& manager_;
  LinkId id_;
  LinkDirection direction_;
  LinkLimits limits_;
  bufferevent* connection_;
  nghttp2_session* session_ = nullptr;
  std::int32_t streamId_ = -1;
  std::string outbound_;
  std::size_t outboundRead_ = 0;
  bool isFlushScheduled_ = false;
  bool hasFailed_ = false;
  protocol::FrameDecoder decoder_;
  std::uint64_t bytesSent_ = 0;
};

}

#endif
