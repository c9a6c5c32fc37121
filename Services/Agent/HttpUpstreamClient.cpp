#include "Services/Agent/HttpUpstreamClient.h"

#include "LibHttp/SendTracker.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

namespace vanillaworks::agent {

namespace {
constexpr long kHttpOk = 200;

std::string
EncodeTask(const protocol::Start& aTask)
{
  return nlohmann::json{
    { "submission", aTask.key.submission.Value() },
    { "task", aTask.key.index },
    { "kind", aTask.kind.Value() },
    { "payload", aTask.payload }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::size_t
AppendToBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}
}

struct HttpUpstreamClient::Transfer
{
  std::string request;
  std::string reply;
  http::SendTracker sendTracker{ "POST" };
  curl_slist* headers = nullptr;
  MonotonicTime startedAt;
  std::function<void(TaskOutcome)> done;

  ~Transfer() { curl_slist_free_all(headers); }
};

/** Forwards the C callbacks of libcurl and libevent to the client. */
struct CurlCallbacks
{
  static void OnSocket(evutil_socket_t aSocket, short aEvents, void* aUpstream)
  {
    auto* upstream = static_cast<HttpUpstreamClient*>(aUpstream);
    int action = ((aEvents & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                 ((aEvents & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(upstream->multi_, aSocket, action, &running);
    upstream->FinishTransfers();
  }

  static void OnTimer(evutil_socket_t, short, void* aUpstream)
  {
    auto* upstream = static_cast<HttpUpstreamClient*>(aUpstream);
    int running = 0;
    curl_multi_socket_action(
      upstream->multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    upstream->FinishTransfers();
  }

  static int UpdateSocketEvent(CURL*,
                               curl_socket_t aSocket,
                               int aWhat,
                               void* aUpstream,
                               void*)
  {
    auto* upstream = static_cast<HttpUpstreamClient*>(aUpstream);
    auto& socketEvent = upstream->sockets_[aSocket];
    if (socketEvent) {
      event_free(socketEvent);
      socketEvent = nullptr;
    }
    if (aWhat == CURL_POLL_REMOVE) {
      upstream->sockets_.erase(aSocket);
      return 0;
    }
    short events = EV_PERSIST;
    events |= (aWhat & CURL_POLL_IN) != 0 ? EV_READ : 0;
    events |= (aWhat & CURL_POLL_OUT) != 0 ? EV_WRITE : 0;
    socketEvent =
      event_new(upstream->loop_.Base(), aSocket, events, &OnSocket, aUpstream);
    event_add(socketEvent, nullptr);
    return 0;
  }

  static int SetTimer(CURLM*, long aMilliseconds, void* aUpstream)
  {
    constexpr long kMillisecondsInSecond = 1000;
    constexpr long kMicrosecondsInMillisecond = 1000;
    auto* upstream = static_cast<HttpUpstreamClient*>(aUpstream);
    if (aMilliseconds < 0) {
      event_del(upstream->timer_);
      return 0;
    }
    timeval delay{ aMilliseconds / kMillisecondsInSecond,
                   aMilliseconds % kMillisecondsInSecond *
                     kMicrosecondsInMillisecond };
    event_add(upstream->timer_, &delay);
    return 0;
  }
};

HttpUpstreamClient::HttpUpstreamClient(service::EventLoop& aLoop,
                                       std::string aUrl,
                                       std::uint32_t aConnections)
  : loop_(aLoop)
  , url_(std::move(aUrl) + "/run")
  , multi_(curl_multi_init())
  , timer_(event_new(aLoop.Base(), -1, 0, &CurlCallbacks::OnTimer, this))
{
  auto connections = static_cast<long>(aConnections);
  curl_multi_setopt(
    multi_, CURLMOPT_SOCKETFUNCTION, &CurlCallbacks::UpdateSocketEvent);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlCallbacks::SetTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS, connections);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, connections);
}

HttpUpstreamClient::~HttpUpstreamClient()
{
  for (auto& [curl, transfer] : transfers_) {
    curl_multi_remove_handle(multi_, curl);
    curl_easy_cleanup(curl);
  }
  curl_multi_cleanup(multi_);
  event_free(timer_);
}

void
HttpUpstreamClient::Run(const protocol::Start& aTask,
                        std::function<void(TaskOutcome)> aDone)
{
  auto* curl = curl_easy_init();
  auto transfer = std::make_unique<Transfer>();
  transfer->request = EncodeTask(aTask);
  transfer->startedAt = MonotonicNow();
  transfer->done = std::move(aDone);
  transfer->headers =
    curl_slist_append(nullptr, "Content-Type: application/json");
  transfer->headers = curl_slist_append(transfer->headers, "Expect:");
  curl_easy_setopt(curl, CURLOPT_URL, url_.c_str());
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, transfer->request.data());
  curl_easy_setopt(
    curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->request.size()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendToBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &transfer->reply);
  transfer->sendTracker.Attach(curl);
  transfers_.emplace(curl, std::move(transfer));
  curl_multi_add_handle(multi_, curl);
}

void
HttpUpstreamClient::FinishTransfers()
{
  int left = 0;
  while (auto* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    auto* curl = message->easy_handle;
    auto result = message->data.result;
    long status = 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(multi_, curl);
    curl_easy_cleanup(curl);
    auto found = transfers_.find(curl);
    auto transfer = std::move(found->second);
    transfers_.erase(found);
    TaskOutcome outcome;
    bool isCompleted = result == CURLE_OK && status == kHttpOk;
    outcome.code = isCompleted ? protocol::ResultCode::Completed
                               : protocol::ResultCode::Failed;
    outcome.payload = std::move(transfer->reply);
    outcome.serviceTime = std::chrono::duration_cast<Microseconds>(
      MonotonicNow() - transfer->startedAt);
    transfer->done(std::move(outcome));
  }
}

}
