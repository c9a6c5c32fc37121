#include "LibService/LoopHttpClient.h"

#include "LibHttp/SendTracker.h"

#include <event2/event.h>

namespace vanillaworks::service {

namespace {
constexpr std::size_t kMaxIdleHandles = 32;
constexpr long kMaxKeptConnections = 32;
}

struct LoopHttpClient::Transfer
{
  explicit Transfer(LoopHttpRequest aRequest)
    : request(std::move(aRequest))
    , sendTracker(request.method)
  {
  }

  LoopHttpRequest request;
  http::SendTracker sendTracker;
  LoopHttpResponse response;
  OnResponse onResponse;
  curl_slist* headers = nullptr;

  ~Transfer() { curl_slist_free_all(headers); }
};

struct LoopHttpClientCallbacks
{
  static int OnSocket(CURL*,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aClient,
                      void*)
  {
    static_cast<LoopHttpClient*>(aClient)->OnSocket(aSocket, aWhat);
    return 0;
  }

  static int OnTimer(CURLM*, long aMilliseconds, void* aClient)
  {
    static_cast<LoopHttpClient*>(aClient)->SetTimer(aMilliseconds);
    return 0;
  }

  static void OnSocketReady(evutil_socket_t aSocket,
                            short aEvents,
                            void* aClient)
  {
    int events = ((aEvents & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                 ((aEvents & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    static_cast<LoopHttpClient*>(aClient)->RunSocketAction(aSocket, events);
  }

  static void OnTimeout(evutil_socket_t, short, void* aClient)
  {
    static_cast<LoopHttpClient*>(aClient)->RunSocketAction(CURL_SOCKET_TIMEOUT,
                                                           0);
  }

  static std::size_t OnBodyData(char* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aBody)
  {
    static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
    return aSize * aCount;
  }
};

LoopHttpClient::LoopHttpClient(EventLoop& aLoop,
                               long aConnectionsPerHost,
                               std::chrono::seconds aMaxIdle)
  : base_(aLoop.Base())
  , maxIdle_(aMaxIdle)
  , multi_(curl_multi_init())
  , timer_(event_new(base_, -1, 0, &LoopHttpClientCallbacks::OnTimeout, this))
{
  curl_multi_setopt(
    multi_, CURLMOPT_SOCKETFUNCTION, &LoopHttpClientCallbacks::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(
    multi_, CURLMOPT_TIMERFUNCTION, &LoopHttpClientCallbacks::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxKeptConnections);
  curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, aConnectionsPerHost);
}

LoopHttpClient::~LoopHttpClient()
{
  for (auto& [handle, transfer] : transfers_) {
    curl_multi_remove_handle(multi_, handle);
    curl_easy_cleanup(handle);
  }
  for (auto* handle : idleHandles_) {
    curl_easy_cleanup(handle);
  }
  curl_multi_cleanup(multi_);
  for (auto& [socket, handle] : sockets_) {
    event_free(handle);
  }
  event_free(timer_);
}

CURL*
LoopHttpClient::AcquireHandle()
{
  if (idleHandles_.empty()) {
    return curl_easy_init();
  }
  auto* handle = idleHandles_.back();
  idleHandles_.pop_back();
  curl_easy_reset(handle);
  return handle;
}

void
LoopHttpClient::Call(LoopHttpRequest aRequest, OnResponse aOnResponse)
{
  auto* handle = AcquireHandle();
  auto transfer = std::make_unique<Transfer>(std::move(aRequest));
  transfer->onResponse = std::move(aOnResponse);
  const auto& request = transfer->request;
  for (const auto& header : request.headers) {
    transfer->headers = curl_slist_append(transfer->headers, header.c_str());
  }
  if (!request.body.empty()) {
    transfer->headers =
      curl_slist_append(transfer->headers, "Content-Type: application/json");
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(
      handle, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method);
  curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(
    handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
  curl_easy_setopt(
    handle, CURLOPT_WRITEFUNCTION, &LoopHttpClientCallbacks::OnBodyData);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer->response.body);
  curl_easy_setopt(
    handle, CURLOPT_MAXAGE_CONN, static_cast<long>(maxIdle_.count()));
  transfer->sendTracker.Attach(handle);
  transfers_.emplace(handle, std::move(transfer));
  curl_multi_add_handle(multi_, handle);
}

void
LoopHttpClient::OnSocket(int aSocket, int aWhat)
{
  auto found = sockets_.find(aSocket);
  if (found != sockets_.end()) {
    event_free(found->second);
    sockets_.erase(found);
  }
  if (aWhat == CURL_POLL_REMOVE) {
    return;
  }
  auto events = static_cast<short>(
    EV_PERSIST | ((aWhat & CURL_POLL_IN) != 0 ? EV_READ : 0) |
    ((aWhat & CURL_POLL_OUT) != 0 ? EV_WRITE : 0));
  auto* handle = event_new(
    base_, aSocket, events, &LoopHttpClientCallbacks::OnSocketReady, this);
  event_add(handle, nullptr);
  sockets_.emplace(aSocket, handle);
}

void
LoopHttpClient::SetTimer(long aMilliseconds)
{
  if (aMilliseconds < 0) {
    event_del(timer_);
    return;
  }
  constexpr long kMillisecondsInSecond = 1000;
  constexpr long kMicrosecondsInMillisecond = 1000;
  timeval time{ aMilliseconds / kMillisecondsInSecond,
                aMilliseconds % kMillisecondsInSecond *
                  kMicrosecondsInMillisecond };
  event_add(timer_, &time);
}

void
LoopHttpClient::RunSocketAction(int aSocket, int aEvents)
{
  int running = 0;
  curl_multi_socket_action(multi_, aSocket, aEvents, &running);
  CompleteTransfers();
}

void
LoopHttpClient::CompleteTransfers()
{
  int left = 0;
  while (auto* message = curl_multi_info_read(multi_, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    auto* handle = message->easy_handle;
    auto result = message->data.result;
    auto found = transfers_.find(handle);
    auto transfer = std::move(found->second);
    transfers_.erase(found);
    if (result == CURLE_OK) {
      curl_easy_getinfo(
        handle, CURLINFO_RESPONSE_CODE, &transfer->response.status);
    }
    transfer->response.wasNeverSent = result == CURLE_COULDNT_CONNECT &&
                                      !transfer->sendTracker.MayHaveBeenSent();
    curl_multi_remove_handle(multi_, handle);
    if (idleHandles_.size() < kMaxIdleHandles) {
      idleHandles_.push_back(handle);
    } else {
      curl_easy_cleanup(handle);
    }
    transfer->onResponse(std::move(transfer->response));
  }
}

}
