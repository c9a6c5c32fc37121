#ifndef Services_Agent_HttpUpstream_h
#define Services_Agent_HttpUpstream_h

#include "Services/Agent/UpstreamRunner.h"

#include "LibService/EventLoop.h"

#include <cstdint>
#include <curl/curl.h>
#include <map>
#include <memory>
#include <string>

namespace vanillaworks::agent {

/**
 * An upstream that takes tasks as "POST /run" (libcurl's multi interface on
 * the event loop). Lives on the loop's thread.
 */
class HttpUpstream final : public UpstreamRunner
{
public:
  HttpUpstream(service::EventLoop& aLoop,
               std::string aUrl,
               std::uint32_t aConnections);
  ~HttpUpstream() override;
  HttpUpstream(const HttpUpstream&) = delete;
  HttpUpstream& operator=(const HttpUpstream&) = delete;

  void Run(const protocol::Start& aTask,
           std::function<void(RunOutcome)> aDone) override;

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
