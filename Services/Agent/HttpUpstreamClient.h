#ifndef Services_Agent_HttpUpstreamClient_h
#define Services_Agent_HttpUpstreamClient_h

#include "Services/Agent/UpstreamClient.h"

#include "LibService/EventLoop.h"

#include <cstdint>
#include <curl/curl.h>
#include <map>
#include <memory>
#include <string>

namespace vanillaworks::agent {

/**
 * Sends tasks to an upstream as "POST /run", with libcurl's multi interface on
 * the event loop. A task whose connection is lost is not sent again. Must be
 * used on the loop's thread only.
 */
class HttpUpstreamClient final : public UpstreamClient
{
public:
  /** aConnections: maximum concurrent connections; further tasks queue. */
  HttpUpstreamClient(service::EventLoop& aLoop,
                     std::string aUrl,
                     std::uint32_t aConnections);
  ~HttpUpstreamClient() override;
  HttpUpstreamClient(const HttpUpstreamClient&) = delete;
  HttpUpstreamClient& operator=(const HttpUpstreamClient&) = delete;

  void Run(const protocol::Start& aTask,
           std::function<void(TaskOutcome)> aDone) override;

private:
  friend struct CurlCallbacks;
  struct Transfer;

  void FinishTransfers();

  service::EventLoop& loop_;
  std::string url_;
  CURLM* multi_;
  event* timer_;
  std::map<CURL*, std::unique_ptr<Transfer>> transfers_;
  std::map<curl_socket_t, event*> sockets_;
};

}

#endif
