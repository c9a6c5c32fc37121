#include "Tests/StandIns/StandInServer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

namespace vanillaworks::standins {

namespace {
struct DelayedCall
{
  std::function<void()> function;
  event* timer;
};

void
OnTimer(evutil_socket_t, short, void* aDelayedCall)
{
  std::unique_ptr<DelayedCall> delayedCall(
    static_cast<DelayedCall*>(aDelayedCall));
  event_free(delayedCall->timer);
  delayedCall->function();
}

void
OnRequest(evhttp_request* aRequest, void* aHandler)
{
  auto& handler = *static_cast<StandInServer::Handler*>(aHandler);
  handler(std::make_shared<Exchange>(aRequest));
}
}

Exchange::Exchange(evhttp_request* aRequest)
  : request_(aRequest)
{
  // Ownership keeps the request alive for a late response when the client
  // closes the connection first.
  evhttp_request_own(request_);
}

std::string
Exchange::Path() const
{
  return evhttp_request_get_uri(request_);
}

std::string
Exchange::Body() const
{
  auto* buffer = evhttp_request_get_input_buffer(request_);
  auto size = evbuffer_get_length(buffer);
  const auto* data = evbuffer_pullup(buffer, -1);
  return { reinterpret_cast<const char*>(data), size };
}

bool
Exchange::IsGet() const
{
  return evhttp_request_get_command(request_) == EVHTTP_REQ_GET;
}

void
Exchange::Respond(int aStatus, const std::string& aBody)
{
  if (!evhttp_request_get_connection(request_)) {
    evhttp_request_free(request_);
    return;
  }
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, aBody.data(), aBody.size());
  evhttp_send_reply(request_, aStatus, nullptr, buffer);
  evbuffer_free(buffer);
}

void
Exchange::CloseConnection()
{
  auto* connection = evhttp_request_get_connection(request_);
  if (connection) {
    evhttp_connection_free(connection);
  }
}

StandInServer::StandInServer(event_base* aBase,
                             const std::string& aAddress,
                             Handler aHandler)
  : base_(aBase)
  , http_(evhttp_new(aBase))
  , handler_(std::move(aHandler))
{
  constexpr ev_ssize_t kMaxBodyBytes = ev_ssize_t{ 256 } * 1024 * 1024;
  auto colon = aAddress.rfind(':');
  auto host = aAddress.substr(0, colon);
  auto port = std::stoi(aAddress.substr(colon + 1));
  evhttp_set_max_body_size(http_, kMaxBodyBytes);
  evhttp_set_allowed_methods(http_,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE);
  evhttp_set_gencb(http_, &OnRequest, &handler_);
  isListening_ = evhttp_bind_socket(
                   http_, host.c_str(), static_cast<std::uint16_t>(port)) == 0;
}

StandInServer::~StandInServer()
{
  evhttp_free(http_);
}

void
StandInServer::RunAfter(Microseconds aDelay, std::function<void()> aFunction)
{
  constexpr std::int64_t kMicrosecondsInSecond = 1'000'000;
  auto* delayedCall = new DelayedCall{ std::move(aFunction), nullptr };
  delayedCall->timer = evtimer_new(base_, &OnTimer, delayedCall);
  timeval time{ aDelay.count() / kMicrosecondsInSecond,
                aDelay.count() % kMicrosecondsInSecond };
  evtimer_add(delayedCall->timer, &time);
}

}
