#include "LibLink/Link.h"

#include "LibLink/LinkHub.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

namespace vanillaworks::link {

namespace {
/** Bytes given to the socket's buffer before the rest waits its turn. */
constexpr std::size_t kSocketBufferBytes = std::size_t{ 256 } * 1024;
/** Flow-control window of stream and connection. */
constexpr std::int32_t kWindowBytes = 4 * 1024 * 1024;

nghttp2_nv
HeaderField(const char* aName, const char* aValue)
{
  nghttp2_nv field{};
  // nghttp2 copies both and does not write to them.
  field.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName));
  field.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue));
  field.namelen = std::strlen(aName);
  field.valuelen = std::strlen(aValue);
  return field;
}
}

/** The C callbacks of nghttp2 and libevent, turned into calls of a Link. */
struct LinkCallbacks
{
  static ssize_t ReadData(nghttp2_session*,
                          std::int32_t,
                          std::uint8_t* aBuffer,
                          std::size_t aLength,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* aSource,
                          void*)
  {
    return static_cast<Link*>(aSource->ptr)
      ->TakeOutbound(aBuffer, aLength, aFlags);
  }

  static int OnDataChunk(nghttp2_session*,
                         std::uint8_t,
                         std::int32_t,
                         const std::uint8_t* aData,
                         std::size_t aLength,
                         void* aLink)
  {
    static_cast<Link*>(aLink)->OnBytes(aData, aLength);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aLink)
  {
    auto* link = static_cast<Link*>(aLink);
    bool isRequest = aFrame->hd.type == NGHTTP2_HEADERS &&
                     aFrame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (isRequest && link->stream_ < 0) {
      link->AnswerStream(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           std::int32_t aStream,
                           std::uint32_t,
                           void* aLink)
  {
    auto* link = static_cast<Link*>(aLink);
    if (aStream == link->stream_) {
      link->Fail(LinkCloseReason::Remote);
    }
    return 0;
  }

  static void OnRead(bufferevent*, void* aLink)
  {
    static_cast<Link*>(aLink)->OnReadable();
  }

  static void OnWritten(bufferevent*, void* aLink)
  {
    static_cast<Link*>(aLink)->Flush();
  }

  static void OnEvent(bufferevent*, short aEvents, void* aLink)
  {
    auto* link = static_cast<Link*>(aLink);
    if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
      link->OpenStream();
      return;
    }
    link->Fail(LinkCloseReason::Remote);
  }

  static nghttp2_session_callbacks* Session()
  {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &OnDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &OnStreamClose);
    return callbacks;
  }
};

Link::Link(LinkHub& aHub,
           LinkId aId,
           LinkRole aRole,
           LinkLimits aLimits,
           bufferevent* aConnection)
  : hub_(aHub)
  , id_(aId)
  , role_(aRole)
  , limits_(aLimits)
  , connection_(aConnection)
{
  bufferevent_setcb(connection_,
                    &LinkCallbacks::OnRead,
                    &LinkCallbacks::OnWritten,
                    &LinkCallbacks::OnEvent,
                    this);
  bufferevent_enable(connection_, EV_READ | EV_WRITE);
  StartSession();
}

Link::~Link()
{
  nghttp2_session_del(session_);
  bufferevent_free(connection_);
}

void
Link::StartSession()
{
  auto* callbacks = LinkCallbacks::Session();
  if (role_ == LinkRole::Dialled) {
    nghttp2_session_client_new(&session_, callbacks, this);
  } else {
    nghttp2_session_server_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  std::array<nghttp2_settings_entry, 1> settings{
    { { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes } }
  };
  nghttp2_submit_settings(
    session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    session_, NGHTTP2_FLAG_NONE, 0, kWindowBytes);
}

void
Link::OpenStream()
{
  std::array<nghttp2_nv, 4> request{ HeaderField(":method", "POST"),
                                     HeaderField(":scheme", "http"),
                                     HeaderField(":authority", "vanillaworks"),
                                     HeaderField(":path", "/link") };
  nghttp2_data_provider data{};
  data.source.ptr = this;
  data.read_callback = &LinkCallbacks::ReadData;
  stream_ = nghttp2_submit_request(
    session_, nullptr, request.data(), request.size(), &data, nullptr);
  Flush();
  hub_.OnUp(*this);
}

void
Link::AnswerStream(std::int32_t aStream)
{
  stream_ = aStream;
  std::array<nghttp2_nv, 1> response{ HeaderField(":status", "200") };
  nghttp2_data_provider data{};
  data.source.ptr = this;
  data.read_callback = &LinkCallbacks::ReadData;
  nghttp2_submit_response(
    session_, stream_, response.data(), response.size(), &data);
  hub_.OnUp(*this);
}

void
Link::Send(const protocol::Frame& aFrame)
{
  if (failed_) {
    return;
  }
  auto before = outbound_.size();
  protocol::AppendFrame(aFrame, outbound_);
  bytesSent_ += outbound_.size() - before;
  if (outbound_.size() - outboundTaken_ > limits_.maxQueuedBytes) {
    return Fail(LinkCloseReason::QueueFull);
  }
  if (!flushScheduled_) {
    flushScheduled_ = true;
    hub_.ScheduleFlush(id_);
  }
}

void
Link::Flush()
{
  flushScheduled_ = false;
  if (failed_) {
    return;
  }
  if (stream_ >= 0 && outboundTaken_ < outbound_.size()) {
    nghttp2_session_resume_data(session_, stream_);
  }
  auto* output = bufferevent_get_output(connection_);
  while (evbuffer_get_length(output) < kSocketBufferBytes) {
    const std::uint8_t* data = nullptr;
    auto size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) {
      return Fail(LinkCloseReason::Remote);
    }
    if (size == 0) {
      return;
    }
    evbuffer_add(output, data, static_cast<std::size_t>(size));
  }
}

std::ptrdiff_t
Link::TakeOutbound(std::uint8_t* aBuffer, std::size_t aLength, std::uint32_t*)
{
  auto size = std::min(aLength, outbound_.size() - outboundTaken_);
  if (size == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(aBuffer, outbound_.data() + outboundTaken_, size);
  outboundTaken_ += size;
  // What was taken is dropped in large pieces, so that a long queue is not
  // moved for every frame.
  if (outboundTaken_ == outbound_.size()) {
    outbound_.clear();
    outboundTaken_ = 0;
  } else if (outboundTaken_ > kSocketBufferBytes) {
    outbound_.erase(0, outboundTaken_);
    outboundTaken_ = 0;
  }
  return static_cast<std::ptrdiff_t>(size);
}

void
Link::OnReadable()
{
  auto* input = bufferevent_get_input(connection_);
  while (!failed_ && evbuffer_get_length(input) > 0) {
    auto size = evbuffer_get_contiguous_space(input);
    auto* data = evbuffer_pullup(input, static_cast<ssize_t>(size));
    auto used = nghttp2_session_mem_recv(session_, data, size);
    if (used < 0) {
      return Fail(LinkCloseReason::BadFrame);
    }
    evbuffer_drain(input, size);
  }
  Flush();
}

void
Link::OnBytes(const std::uint8_t* aData, std::size_t aSize)
{
  if (failed_) {
    return;
  }
  hub_.bytesReceived_ += aSize;
  decoder_.Append({ reinterpret_cast<const char*>(aData), aSize });
  while (!failed_) {
    auto next = decoder_.Next();
    if (next.IsError()) {
      return Fail(LinkCloseReason::BadFrame);
    }
    auto frame = next.ReleaseValue();
    if (!frame) {
      return;
    }
    hub_.OnFrame(*this, std::move(*frame));
  }
}

void
Link::Fail(LinkCloseReason aReason)
{
  if (failed_) {
    return;
  }
  failed_ = true;
  hub_.ScheduleClose(id_, aReason);
}

}
