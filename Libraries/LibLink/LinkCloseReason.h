#ifndef Libraries_LibLink_LinkCloseReason_h
#define Libraries_LibLink_LinkCloseReason_h

#include <cstdint>
#include <string_view>

namespace vanillaworks::link {

enum class LinkCloseReason : std::uint8_t
{
  /** Closed from this side. */
  Local,
  /** The other end or the network closed it, or it was never made. */
  Remote,
  /** A frame could not be decoded. */
  BadFrame,
  /** More is waiting to be sent than is allowed. */
  QueueFull
};

/** Thread safe. */
constexpr std::string_view
LinkCloseReasonName(LinkCloseReason aReason)
{
  switch (aReason) {
    case LinkCloseReason::Local:
      return "local";
    case LinkCloseReason::Remote:
      return "remote";
    case LinkCloseReason::BadFrame:
      return "bad_frame";
    case LinkCloseReason::QueueFull:
      return "queue_full";
  }
  return "local";
}

}

#endif
