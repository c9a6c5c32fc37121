#include "review/Http-2.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace vanillaworks::review {

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(std::int64_t aDuration)
{
  if (aDuration > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aDuration));
  }
}

namespace {
sockaddr_in
Parse(const Address& aAddress)
{
  auto colon = aAddress.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

bool
WaitFor(int aSocket, short aEvents, std::int64_t aTimeoutMs)
{
  pollfd item{ aSocket, aEvents, 0 };
  return poll(&item,
              1,
              static_cast<int>(std::max<std::int64_t>(aTimeoutMs, 0))) == 1;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    auto size =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return aText;
}

struct Message
{
  std::string firstLine;
  std::map<std::string, std::string> headers;
  std::string body;
};

void
ParseHead(const std::string& aHead, Message& aMessage)
{
  auto end = aHead.find("\r\n");
  aMessage.firstLine = aHead.substr(0, end);
  while (end != std::string::npos) {
    auto begin = end + 2;
    end = aHead.find("\r\n", begin);
    auto line = aHead.substr(begin, end - begin);
    auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    aMessage.headers[ToLower(line.substr(0, colon))] = value;
  }
}

/** Reads one message; nothing if the connection ended or time ran out. */
std::optional<Message>
ReadMessage(int aSocket, std::string& aBuffer, std::int64_t aTimeoutMs)
{
  constexpr std::size_t kChunk = 65'536;
  auto until = NowMs() + aTimeoutMs;
  std::string chunk(kChunk, '\0');
  while (true) {
    auto headEnd = aBuffer.find("\r\n\r\n");
    if (headEnd != std::string::npos) {
      Message message;
      ParseHead(aBuffer.substr(0, headEnd), message);
      auto length = message.headers["content-length"];
      auto bodySize = length.empty() ? 0 : std::stoul(length);
      if (aBuffer.size() >= headEnd + 4 + bodySize) {
        message.body = aBuffer.substr(headEnd + 4, bodySize);
        aBuffer.erase(0, headEnd + 4 + bodySize);
        return message;
      }
    }
    if (!WaitFor(aSocket, POLLIN, until - NowMs())) {
      return {};
    }
    auto size = recv(aSocket, chunk.data(), chunk.size(), 0);
    if (size <= 0) {
      return {};
    }
    aBuffer.append(chunk.data(), static_cast<std::size_t>(size));
  }
}

std::string
Format(const HttpResponse& aResponse)
{
  return "HTTP/1.1 " + std::to_string(aResponse.status) +
         " -\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aResponse.body.size()) + "\r\n\r\n" + aResponse.body;
}

std::string
Format(const HttpRequest& aRequest)
{
  auto text = aRequest.method + " " + aRequest.path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aRequest.headers) {
    text += name + ": " + value + "\r\n";
  }
  if (!aRequest.headers.contains("Host")) {
    text += "Host: localhost\r\n";
  }
  if (!aRequest.body.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  return text + "Content-Length: " + std::to_string(aRequest.body.size()) +
         "\r\n\r\n" + aRequest.body;
}
}

std::string
HttpRequest::Query(const std::string& aName) const
{
  auto query = path.substr(std::min(path.find('?'), path.size()));
  for (const auto* separator : { "?", "&" }) {
    auto position = query.find(separator + aName + "=");
    if (position == std::string::npos) {
      continue;
    }
    auto begin = position + aName.size() + 2;
    auto raw = query.substr(begin, query.find('&', begin) - begin);
    std::string value;
    constexpr int kHexadecimal = 16;
    for (std::size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        value += static_cast<char>(
          std::stoi(raw.substr(i + 1, 2), nullptr, kHexadecimal));
        i += 2;
      } else {
        value += raw[i];
      }
    }
    return value;
  }
  return "";
}

int
ConnectTo(const Address& aAddress, std::int64_t aTimeoutMs)
{
  int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto target = Parse(aAddress);
  fcntl(connection, F_SETFL, O_NONBLOCK);
  auto result = connect(
    connection, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  bool isPending = result != 0 && errno == EINPROGRESS;
  if (isPending && WaitFor(connection, POLLOUT, aTimeoutMs)) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(connection, SOL_SOCKET, SO_ERROR, &error, &size);
    result = error;
  }
  if (result != 0) {
    close(connection);
    return -1;
  }
  fcntl(connection, F_SETFL, 0);
  int enabled = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return connection;
}

int
ListenOn(const Address& aAddress)
{
  constexpr int kBacklog = 256;
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  auto address = Parse(aAddress);
  bool isListening = bind(listener,
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0 &&
                     listen(listener, kBacklog) == 0;
  if (!isListening) {
    close(listener);
    return -1;
  }
  return listener;
}

void
ResetSocket(int aSocket)
{
  linger option{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  close(aSocket);
}

HttpServer::HttpServer(const Address& aAddress, Handler aHandler)
  : handler_(std::move(aHandler))
  , listener_(ListenOn(aAddress))
{
  if (IsListening()) {
    acceptor_ = std::thread([this] { Accept(); });
  }
}

HttpServer::~HttpServer()
{
  isStopping_ = true;
  if (!IsListening()) {
    return;
  }
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  {
    std::scoped_lock lock(mutex_);
    for (int connection : sockets_) {
      shutdown(connection, SHUT_RDWR);
    }
  }
  for (auto& connection : connections_) {
    connection.join();
  }
}

void
HttpServer::Accept()
{
  while (!isStopping_) {
    int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      if (isStopping_) {
        return;
      }
      continue;
    }
    int enabled = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    std::scoped_lock lock(mutex_);
    sockets_.insert(connection);
    connections_.emplace_back([this, connection] { Serve(connection); });
  }
}

void
HttpServer::Serve(int aSocket)
{
  constexpr std::int64_t kIdleMs = 100;
  std::string buffer;
  while (!isStopping_) {
    if (buffer.empty() && !WaitFor(aSocket, POLLIN, kIdleMs)) {
      continue;
    }
    constexpr std::int64_t kReadMs = 5000;
    auto message = ReadMessage(aSocket, buffer, kReadMs);
    if (!message) {
      break;
    }
    HttpRequest request;
    auto space = message->firstLine.find(' ');
    request.method = message->firstLine.substr(0, space);
    request.path = message->firstLine.substr(
      space + 1, message->firstLine.rfind(' ') - space - 1);
    request.headers = std::move(message->headers);
    request.body = std::move(message->body);
    auto response = handler_(request);
    if (!response || !SendAll(aSocket, Format(*response))) {
      break;
    }
  }
  std::scoped_lock lock(mutex_);
  sockets_.erase(aSocket);
  close(aSocket);
}

HttpCall::HttpCall(const Address& aAddress,
                   const HttpRequest& aRequest,
                   std::int64_t aConnectTimeoutMs)
  : socket_(ConnectTo(aAddress, aConnectTimeoutMs))
{
  if (socket_ >= 0) {
    SendAll(socket_, Format(aRequest));
  }
}

HttpCall::~HttpCall()
{
  if (socket_ >= 0) {
    close(socket_);
  }
}

HttpResponse
HttpCall::Await(std::int64_t aTimeoutMs)
{
  if (socket_ < 0) {
    return {};
  }
  std::string buffer;
  auto message = ReadMessage(socket_, buffer, aTimeoutMs);
  close(socket_);
  socket_ = -1;
  if (!message) {
    return {};
  }
  auto space = message->firstLine.find(' ');
  return { std::stoi(message->firstLine.substr(space + 1)), message->body };
}

void
HttpCall::Reset()
{
  if (socket_ >= 0) {
    ResetSocket(socket_);
    socket_ = -1;
  }
}

HttpResponse
Call(const Address& aAddress,
     const HttpRequest& aRequest,
     std::int64_t aTimeoutMs)
{
  HttpCall call(aAddress, aRequest, aTimeoutMs);
  return call.Await(aTimeoutMs);
}

}
