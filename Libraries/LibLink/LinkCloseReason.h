#ifndef Libraries_LibLink_LinkCloseReason_h
#define Libraries_LibLink_LinkCloseReason_h

#include <cstdint>
#include <string_view>

namespace vanillaworks::link {

enum class LinkCloseReason : std::uint8_t
{
  /** This process closed the link. */
  Local,
  /** The peer or the network closed the link, or connecting failed. */
  Remote,
  /** A received frame or its HTTP/2 framing could not be decoded. */
  BadFrame,
  /** The send queue exceeded LinkLimits::maxQueuedBytes. */
  QueueFull
};

/** The reason as written to the log. Thread safe. */
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
