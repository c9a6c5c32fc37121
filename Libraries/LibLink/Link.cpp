#include "LibLink/Link.h"

#include "LibLink/LinkManager.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nghttp2/nghttp2.h>

namespace vanillaworks::link {

namespace {
/** Flush() stops filling the socket's output buffer at this size. */
constexpr std::size_t kMaxSocketBufferBytes = std::size_t{ 256 } * 1024;
/** HTTP/2 flow-control window of the stream and of the connection. */
constexpr std::int32_t kWindowBytes = 4 * 1024 * 1024;

nghttp2_nv
HeaderField(const char* aName, const char* aValue)
{
  nghttp2_nv field{};
  // nghttp2 copies name and value and does not write to them.
  field.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName));
  field.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue));
  field.namelen = std::strlen(aName);
  field.valuelen = std::strlen(aValue);
  return field;
}
}

/** Forwards the C callbacks of nghttp2 and libevent to a Link. */
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
      ->ReadOutbound(aBuffer, aLength, aFlags);
  }

  static int OnDataChunk(nghttp2_session*,
                         std::uint8_t,
                         std::int32_t,
                         const std::uint8_t* aData,
                         std::size_t aLength,
                         void* aLink)
  {
    static_cast<Link*>(aLink)->OnData(aData, aLength);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* aFrame, void* aLink)
  {
    auto* link = static_cast<Link*>(aLink);
    bool isRequest = aFrame->hd.type == NGHTTP2_HEADERS &&
                     aFrame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (isRequest && link->streamId_ < 0) {
      link->AnswerStream(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           std::int32_t aStreamId,
                           std::uint32_t,
                           void* aLink)
  {
    auto* link = static_cast<Link*>(aLink);
    if (aStreamId == link->streamId_) {
      link->Fail(LinkCloseReason::Remote);
    }
    return 0;
  }

  static void OnRead(bufferevent*, void* aLink)
  {
    static_cast<Link*>(aLink)->OnReadable();
  }

  static void OnWritable(bufferevent*, void* aLink)
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

Link::Link(LinkManager& aManager,
           LinkId aId,
           LinkDirection aDirection,
           LinkLimits aLimits,
           bufferevent* aConnection)
  : manager_(aManager)
  , id_(aId)
  , direction_(aDirection)
  , limits_(aLimits)
  , connection_(aConnection)
{
  bufferevent_setcb(connection_,
                    &LinkCallbacks::OnRead,
                    &LinkCallbacks::OnWritable,
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
  if (direction_ == LinkDirection::Outbound) {
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
  streamId_ = nghttp2_submit_request(
    session_, nullptr, request.data(), request.size(), &data, nullptr);
  Flush();
  manager_.NotifyUp(*this);
}

void
Link::AnswerStream(std::int32_t aStreamId)
{
  streamId_ = aStreamId;
  std::array<nghttp2_nv, 1> response{ HeaderField(":status", "200") };
  nghttp2_data_provider data{};
  data.source.ptr = this;
  data.read_callback = &LinkCallbacks::ReadData;
  nghttp2_submit_response(
    session_, streamId_, response.data(), response.size(), &data);
  manager_.NotifyUp(*this);
}

void
Link::Send(const protocol::Frame& aFrame)
{
  if (hasFailed_) {
    return;
  }
  auto before = outbound_.size();
  protocol::AppendFrame(aFrame, outbound_);
  bytesSent_ += outbound_.size() - before;
  if (outbound_.size() - outboundRead_ > limits_.maxQueuedBytes) {
    return Fail(LinkCloseReason::QueueFull);
  }
  if (!isFlushScheduled_) {
    isFlushScheduled_ = true;
    manager_.ScheduleFlush(id_);
  }
}

void
Link::Flush()
{
  isFlushScheduled_ = false;
  if (hasFailed_) {
    return;
  }
  if (streamId_ >= 0 && outboundRead_ < outbound_.size()) {
    nghttp2_session_resume_data(session_, streamId_);
  }
  auto* output = bufferevent_get_output(connection_);
  while (evbuffer_get_length(output) < kMaxSocketBufferBytes) {
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
Link::ReadOutbound(std::uint8_t* aBuffer, std::size_t aLength, std::uint32_t*)
{
  auto size = std::min(aLength, outbound_.size() - outboundRead_);
  if (size == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  std::memcpy(aBuffer, outbound_.data() + outboundRead_, size);
  outboundRead_ += size;
  // The part already read is erased in large blocks, so that a long queue is
  // not moved in memory for every frame.
  if (outboundRead_ == outbound_.size()) {
    outbound_.clear();
    outboundRead_ = 0;
  } else if (outboundRead_ > kMaxSocketBufferBytes) {
    outbound_.erase(0, outboundRead_);
    outboundRead_ = 0;
  }
  return static_cast<std::ptrdiff_t>(size);
}

void
Link::OnReadable()
{
  auto* input = bufferevent_get_input(connection_);
  while (!hasFailed_ && evbuffer_get_length(input) > 0) {
    auto size = evbuffer_get_contiguous_space(input);
    auto* data = evbuffer_pullup(input, static_cast<ssize_t>(size));
    auto consumed = nghttp2_session_mem_recv(session_, data, size);
    if (consumed < 0) {
      return Fail(LinkCloseReason::BadFrame);
    }
    evbuffer_drain(input, size);
  }
  Flush();
}

void
Link::OnData(const std::uint8_t* aData, std::size_t aSize)
{
  if (hasFailed_) {
    return;
  }
  manager_.bytesReceived_ += aSize;
  decoder_.Append({ reinterpret_cast<const char*>(aData), aSize });
  while (!hasFailed_) {
    auto next = decoder_.Next();
    if (next.IsError()) {
      return Fail(LinkCloseReason::BadFrame);
    }
    auto frame = next.ReleaseValue();
    if (!frame) {
      return;
    }
    manager_.NotifyFrame(*this, std::move(*frame));
  }
}

void
Link::Fail(LinkCloseReason aReason)
{
  if (hasFailed_) {
    return;
  }
  hasFailed_ = true;
  manager_.ScheduleClose(id_, aReason);
}

}
