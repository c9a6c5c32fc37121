#ifndef Libraries_LibHttp_SendTracker_h
#define Libraries_LibHttp_SendTracker_h

#include <cstdint>
#include <curl/curl.h>
#include <string_view>

namespace vanillaworks::http {

/**
 * Tracks whether libcurl has sent the request of one transfer, and lets a
 * request whose method is not idempotent be sent only once. libcurl silently
 * sends a request again on a new connection if a kept one is closed before the
 * first byte of the response, although the server may have executed it (RFC
 * 9110, section 9.2.2). Such a transfer ends with CURLE_ABORTED_BY_CALLBACK
 * instead. Not thread safe.
 */
class SendTracker
{
public:
  /** aMethod: an HTTP method in upper case. */
  explicit SendTracker(std::string_view aMethod);
  SendTracker(const SendTracker&) = delete;
  SendTracker& operator=(const SendTracker&) = delete;

  /**
   * Registers this object with the transfer's handle. It must outlive the
   * transfer and stay at its address.
   */
  void Attach(CURL* aTransfer);

  /**
   * Whether a connection was ready to send the request at least once. If not,
   * the server certainly did not receive it.
   */
  bool MayHaveBeenSent() const { return sendCount_ > 0; }

private:
  friend struct SendTrackerCallbacks;

  bool isRepeatable_;
  std::uint32_t sendCount_ = 0;
};

}

#endif
