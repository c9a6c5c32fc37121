#include "LibService/LoopHttpServer.h"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace vanillaworks::service {

namespace {
/**
 * Short, since all waiting connections are accepted before those that a limit
 * closes free their descriptors.
 */
constexpr int kBacklog = 128;

HttpMethod
ToHttpMethod(evhttp_request* aRequest)
{
  switch (evhttp_request_get_command(aRequest)) {
    case EVHTTP_REQ_GET:
      return HttpMethod::Get;
    case EVHTTP_REQ_POST:
      return HttpMethod::Post;
    case EVHTTP_REQ_PUT:
      return HttpMethod::Put;
    case EVHTTP_REQ_DELETE:
      return HttpMethod::Delete;
    default:
      return HttpMethod::Other;
  }
}

std::string
ReadPath(evhttp_request* aRequest)
{
  std::string uri = evhttp_request_get_uri(aRequest);
  return uri.substr(0, uri.find('?'));
}

std::string
ReadBody(evhttp_request* aRequest)
{
  auto* buffer = evhttp_request_get_input_buffer(aRequest);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

bufferevent*
BufferOf(evhttp_request* aRequest)
{
  auto* connection = evhttp_request_get_connection(aRequest);
  return connection ? evhttp_connection_get_bufferevent(connection) : nullptr;
}
}

struct LoopHttpCallbacks
{
  static void OnRequest(evhttp_request* aRequest, void* aServer)
  {
    auto& server = *static_cast<LoopHttpServer*>(aServer);
    server.handler_(std::make_shared<LoopHttpExchange>(server, aRequest));
  }

  static bufferevent* OnAccept(event_base* aBase, void* aServer)
  {
    auto& server = *static_cast<LoopHttpServer*>(aServer);
    return server.clients_.Open(aBase, server.maxRequestBytes_);
  }

  static void OnClose(evhttp_connection*, void* aExchange)
  {
    // libevent frees the request together with its connection.
    auto* exchange = static_cast<LoopHttpExchange*>(aExchange);
    exchange->Detach();
  }
};

LoopHttpExchange::LoopHttpExchange(LoopHttpServer& aServer,
                                   evhttp_request* aRequest)
  : server_(&aServer)
  , handle_(aRequest)
  , request_{ ToHttpMethod(aRequest), ReadPath(aRequest), ReadBody(aRequest) }
{
  server_->openExchanges_.insert(this);
  server_->clients_.OnRequest(BufferOf(handle_), request_.body.size());
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(handle_), &LoopHttpCallbacks::OnClose, this);
}

LoopHttpExchange::~LoopHttpExchange()
{
  if (handle_) {
    constexpr int kInternalError = 500;
    Reply(kInternalError, "{}");
  }
}

void
LoopHttpExchange::Detach()
{
  handle_ = nullptr;
  server_->openExchanges_.erase(this);
}

std::optional<std::string>
LoopHttpExchange::Header(const char* aName) const
{
  if (!handle_) {
    return {};
  }
  const auto* value =
    evhttp_find_header(evhttp_request_get_input_headers(handle_), aName);
  return value ? std::optional<std::string>(value) : std::nullopt;
}

std::string
LoopHttpExchange::Host() const
{
  auto host = Header("Host").value_or("");
  return host.substr(0, host.find(':'));
}

int
LoopHttpExchange::Socket() const
{
  auto* connection = handle_ ? evhttp_request_get_connection(handle_) : nullptr;
  if (!connection) {
    return -1;
  }
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

MonotonicTime
LoopHttpExchange::ReceivedAt() const
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  bool isKnown = getsockopt(Socket(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  auto now = MonotonicNow();
  return isKnown ? now - Milliseconds(info.tcpi_last_data_recv) : now;
}

std::string
LoopHttpExchange::TakeBody()
{
  auto body = std::move(request_.body);
  request_.body.clear();
  if (handle_) {
    server_->clients_.OnBodyReleased(BufferOf(handle_));
  }
  return body;
}

void
LoopHttpExchange::Reply(int aStatus,
                        const std::string& aBody,
                        const Headers& aHeaders,
                        const char* aContentType)
{
  if (!handle_) {
    return;
  }
  auto* handle = handle_;
  server_->clients_.OnReplied(BufferOf(handle));
  auto* connection = evhttp_request_get_connection(handle);
  if (connection) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  Detach();
  auto* headers = evhttp_request_get_output_headers(handle);
  evhttp_add_header(headers, "Content-Type", aContentType);
  for (const auto& [name, value] : aHeaders) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (server_->closesConnections_) {
    evhttp_add_header(headers, "Connection", "close");
  }
  auto* buffer = evbuffer_new();
  evbuffer_add(buffer, aBody.data(), aBody.size());
  evhttp_send_reply(handle, aStatus, nullptr, buffer);
  evbuffer_free(buffer);
}

bool
LoopHttpExchange::IsCallerDisconnected() const
{
  int socket = Socket();
  if (socket < 0) {
    return true;
  }
  char byte = 0;
  auto receivedBytes = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return receivedBytes == 0 || (receivedBytes < 0 && errno != EAGAIN &&
                                errno != EWOULDBLOCK && errno != EINTR);
}

LoopHttpServer::LoopHttpServer(ClientRegistry& aClients, Handler aHandler)
  : clients_(aClients)
  , handler_(std::move(aHandler))
{
}

LoopHttpServer::~LoopHttpServer()
{
  if (http_) {
    evhttp_free(http_);
  }
}

Result<std::unique_ptr<LoopHttpServer>, HttpServerError>
LoopHttpServer::Create(event_base* aBase,
                       const LoopHttpServerOptions& aOptions,
                       ClientRegistry& aClients,
                       Handler aHandler)
{
  sockaddr_storage address{};
  int addressLength = sizeof(address);
  auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
  bool hasPort = aOptions.address.find(':') != std::string::npos;
  if (!hasPort || evutil_parse_sockaddr_port(aOptions.address.c_str(),
                                             genericAddress,
                                             &addressLength) != 0) {
    return Failure{ HttpServerError::BadAddress };
  }
  std::unique_ptr<LoopHttpServer> server(
    new LoopHttpServer(aClients, std::move(aHandler)));
  server->http_ = evhttp_new(aBase);
  auto* http = server->http_;
  server->maxRequestBytes_ = aOptions.maxHeaderBytes + aOptions.maxBodyBytes;
  evhttp_set_allowed_methods(http,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size(http,
                              static_cast<ev_ssize_t>(aOptions.maxHeaderBytes));
  evhttp_set_max_body_size(http,
                           static_cast<ev_ssize_t>(aOptions.maxBodyBytes));
  evhttp_set_timeout(http, static_cast<int>(aOptions.idleTimeout.count()));
  evhttp_set_gencb(http, &LoopHttpCallbacks::OnRequest, server.get());
  evhttp_set_bevcb(http, &LoopHttpCallbacks::OnAccept, server.get());
  unsigned flags =
    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE;
  if (aOptions.sharesPort) {
    flags |= LEV_OPT_REUSEABLE_PORT;
  }
  auto* listener = evconnlistener_new_bind(
    aBase, nullptr, nullptr, flags, kBacklog, genericAddress, addressLength);
  if (!listener) {
    return Failure{ HttpServerError::CannotBind };
  }
  if (!evhttp_bind_listener(http, listener)) {
    evconnlistener_free(listener);
    return Failure{ HttpServerError::CannotBind };
  }
  return server;
}

void
LoopHttpServer::DropDisconnectedCallers()
{
  std::vector<LoopHttpExchange*> disconnected;
  for (auto* exchange : openExchanges_) {
    if (exchange->IsCallerDisconnected()) {
      disconnected.push_back(exchange);
    }
  }
  for (auto* exchange : disconnected) {
    auto* connection = evhttp_request_get_connection(exchange->handle_);
    auto onDisconnected = std::move(exchange->onDisconnected_);
    // Freeing the connection frees its request and detaches the exchange.
    if (connection) {
      evhttp_connection_free(connection);
    } else {
      evhttp_request_free(exchange->handle_);
      exchange->Detach();
    }
    if (onDisconnected) {
      onDisconnected();
    }
  }
}

}
