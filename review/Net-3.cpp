#include "Net-3.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {
constexpr std::int64_t kMsInSecond = 1000;
constexpr std::int64_t kNsInMs = 1'000'000;

sockaddr_in
ParseAddress(const std::string& aAddress)
{
  auto colon = aAddress.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(
    static_cast<std::uint16_t>(std::atoi(aAddress.substr(colon + 1).c_str())));
  inet_pton(
    AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr.s_addr);
  return address;
}

void
SetNoDelay(int aSocket)
{
  int one = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

std::string
WordOf(const std::string& aLine, int aIndex)
{
  std::size_t begin = 0;
  for (int i = 0; i < aIndex; ++i) {
    begin = aLine.find(' ', begin);
    if (begin == std::string::npos) {
      return "";
    }
    ++begin;
  }
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}
}

std::int64_t
NowMs()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time.tv_sec * kMsInSecond + time.tv_nsec / kNsInMs;
}

void
SleepMs(std::int64_t aMilliseconds)
{
  if (aMilliseconds > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
  }
}

void
SleepUntil(std::int64_t aTime)
{
  SleepMs(aTime - NowMs());
}

int
ConnectTo(const std::string& aAddress)
{
  auto address = ParseAddress(aAddress);
  int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(connection,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(connection);
    return -1;
  }
  SetNoDelay(connection);
  return connection;
}

int
ListenOn(const std::string& aAddress)
{
  constexpr int kBacklog = 128;
  auto address = ParseAddress(aAddress);
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  bool isListening = ::bind(listener,
                            reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0 &&
                     ::listen(listener, kBacklog) == 0;
  if (!isListening) {
    ::close(listener);
    return -1;
  }
  return listener;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    auto size =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

int
HttpMessage::Status() const
{
  return std::atoi(WordOf(start, 1).c_str());
}

std::string
HttpMessage::Method() const
{
  return WordOf(start, 0);
}

std::string
HttpMessage::Target() const
{
  return WordOf(start, 1);
}

bool
HttpReader::Fill(std::int64_t aUntil)
{
  constexpr std::size_t kChunk = 65536;
  pollfd item{ socket_, POLLIN, 0 };
  auto left = aUntil < 0 ? -1 : std::max<std::int64_t>(aUntil - NowMs(), 0);
  if (::poll(&item, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  std::string chunk(kChunk, '\0');
  auto size = ::recv(socket_, chunk.data(), chunk.size(), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(chunk, 0, static_cast<std::size_t>(size));
  return true;
}

bool
HttpReader::Read(HttpMessage& aMessage, std::int64_t aTimeoutMs)
{
  auto until = aTimeoutMs < 0 ? -1 : NowMs() + aTimeoutMs;
  const std::string end = "\r\n\r\n";
  auto position = buffer_.find(end);
  while (position == std::string::npos) {
    if (!Fill(until)) {
      return false;
    }
    position = buffer_.find(end);
  }
  auto head = buffer_.substr(0, position + 2);
  buffer_.erase(0, position + end.size());
  aMessage = {};
  auto lineEnd = head.find("\r\n");
  aMessage.start = head.substr(0, lineEnd);
  while (lineEnd + 2 < head.size()) {
    auto begin = lineEnd + 2;
    lineEnd = head.find("\r\n", begin);
    auto line = head.substr(begin, lineEnd - begin);
    auto colon = line.find(':');
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    auto value = line.find_first_not_of(' ', colon + 1);
    aMessage.headers[name] =
      value == std::string::npos ? "" : line.substr(value);
  }
  auto length = aMessage.headers.find("content-length");
  auto size = length == aMessage.headers.end()
                ? std::size_t{ 0 }
                : static_cast<std::size_t>(std::stoul(length->second));
  while (buffer_.size() < size) {
    if (!Fill(until)) {
      return false;
    }
  }
  aMessage.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

std::string
FormatRequest(const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aHost,
              const std::string& aBody,
              std::int64_t aDeadlineMs)
{
  auto text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost + "\r\n";
  if (aDeadlineMs > 0) {
    text += "Deadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  }
  if (!aBody.empty()) {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

HttpMessage
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     std::int64_t aTimeoutMs,
     const std::string& aHost)
{
  HttpMessage answer;
  int connection = ConnectTo(aAddress);
  if (connection < 0) {
    return answer;
  }
  HttpReader reader(connection);
  bool isSent =
    SendAll(connection, FormatRequest(aMethod, aTarget, aHost, aBody));
  if (!isSent || !reader.Read(answer, aTimeoutMs)) {
    answer = {};
  }
  ::close(connection);
  return answer;
}

HttpServer::HttpServer(const std::string& aAddress, Handler aHandler)
  : address_(aAddress)
  , handler_(std::move(aHandler))
  , listener_(ListenOn(aAddress))
{
  if (listener_ >= 0) {
    std::thread([this] { Accept(); }).detach();
  }
}

void
HttpServer::GoDown()
{
  constexpr std::int64_t kAcceptEndsMs = 20;
  int listener = listener_.exchange(-1);
  ::shutdown(listener, SHUT_RDWR);
  {
    std::scoped_lock lock(mutex_);
    ++crashes_;
    for (int connection : connections_) {
      // Its thread closes it, which resets it.
      linger reset{ 1, 0 };
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(connection, SHUT_RD);
    }
  }
  SleepMs(kAcceptEndsMs);
  ::close(listener);
}

void
HttpServer::ComeBack()
{
  listener_ = ListenOn(address_);
}

void
HttpServer::Accept()
{
  constexpr std::int64_t kPauseMs = 1;
  while (true) {
    int listener = listener_;
    int connection =
      listener < 0 ? -1 : ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      SleepMs(kPauseMs);
      continue;
    }
    SetNoDelay(connection);
    {
      std::scoped_lock lock(mutex_);
      connections_.insert(connection);
    }
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

bool
HttpServer::Answer(int aSocket, const HttpReply& aReply) const
{
  auto text = "HTTP/1.1 " + std::to_string(aReply.status) +
              " -\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(aReply.body.size()) + "\r\n\r\n" + aReply.body;
  return SendAll(aSocket, text);
}

void
HttpServer::Serve(int aSocket)
{
  HttpReader reader(aSocket);
  HttpMessage request;
  int crashes = crashes_;
  bool isOpen = true;
  while (isOpen && reader.Read(request)) {
    auto reply = handler_(request);
    isOpen =
      crashes == crashes_ && (reply.status == 0 || Answer(aSocket, reply));
  }
  std::scoped_lock lock(mutex_);
  connections_.erase(aSocket);
  ::close(aSocket);
}

}
