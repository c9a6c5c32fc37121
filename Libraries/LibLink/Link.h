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
 * One connection to another process of ours: a single HTTP/2 stream (RFC
 * 9113) that stays open in both directions and carries frames as its data.
 * Lives on the event loop's thread.
 */
class Link
{
public:
  /** Takes over aConnection, which may still be connecting. */
  Link(LinkHub& aHub,
       LinkId aId,
       LinkRole aRole,
       LinkLimits aLimits,
       bufferevent* aConnection);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /** Queues the frame; it leaves at the end of this turn of the loop. */
  void Send(const protocol::Frame& aFrame);
  LinkId Id() const { return id_; }
  LinkRole Role() const { return role_; }
  std::uint64_t BytesSent() const { return bytesSent_; }

  /** Called by the hub: hands what waits to the connection. */
  void Flush();

private:
  friend struct LinkCallbacks;

  void StartSession();
  void OpenStream();
  void AnswerStream(std::int32_t aStream);
  void OnReadable();
  void OnBytes(const std::uint8_t* aData, std::size_t aSize);
  void Fail(LinkCloseReason aReason);
  std::ptrdiff_t TakeOutbound(std::uint8_t* aBuffer,
                              std::size_t aLength,
                              std::uint32_t* aFlags);

  LinkHub& hub_;
  LinkId id_;
  LinkRole role_;
  LinkLimits limits_;
  bufferevent* connection_;
  nghttp2_session* session_ = nullptr;
  std::int32_t stream_ = -1;
  std::string outbound_;
  std::size_t outboundTaken_ = 0;
  bool flushScheduled_ = false;
  bool failed_ = false;
  protocol::FrameDecoder decoder_;
  std::uint64_t bytesSent_ = 0;
};

}

#endif
