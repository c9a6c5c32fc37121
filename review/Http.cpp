#include "review/Http.h"

#include "review/Record.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {
sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr);
  return address;
}

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aLetter) {
    return static_cast<char>(::tolower(aLetter));
  });
  return aText;
}

std::string
Unescape(const std::string& aText)
{
  std::string plain;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      plain +=
        static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += aText[i];
    }
  }
  return plain;
}

std::map<std::string, std::string>
ParseQuery(const std::string& aQuery)
{
  std::map<std::string, std::string> query;
  std::istringstream items(aQuery);
  std::string item;
  while (std::getline(items, item, '&')) {
    auto equals = item.find('=');
    if (equals != std::string::npos) {
      query[item.substr(0, equals)] = Unescape(item.substr(equals + 1));
    }
  }
  return query;
}

/** The start line, headers and body of a message. */
struct Message
{
  std::string startLine;
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Removes the first complete message from aBuffer. */
std::optional<Message>
TakeMessage(std::string& aBuffer)
{
  auto end = aBuffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return {};
  }
  Message message;
  std::istringstream lines(aBuffer.substr(0, end));
  std::getline(lines, message.startLine);
  std::string line;
  while (std::getline(lines, line)) {
    auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto value = line.substr(std::min(line.size(), colon + 2));
    if (value.ends_with('\r')) {
      value.pop_back();
    }
    message.headers[ToLower(line.substr(0, colon))] = value;
  }
  auto length = message.headers.find("content-length");
  auto size = length == message.headers.end() ? 0 : std::stoul(length->second);
  if (aBuffer.size() < end + 4 + size) {
    return {};
  }
  message.body = aBuffer.substr(end + 4, size);
  aBuffer.erase(0, end + 4 + size);
  return message;
}

/** Returns false at the end of the connection. */
bool
ReadMore(int aSocket, std::string& aBuffer)
{
  char bytes[16384];
  auto size = recv(aSocket, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

HttpRequest
ToRequest(const Message& aMessage)
{
  HttpRequest request;
  std::string target;
  std::istringstream(aMessage.startLine) >> request.method >> target;
  auto question = target.find('?');
  request.path = target.substr(0, question);
  if (question != std::string::npos) {
    request.query = ParseQuery(target.substr(question + 1));
  }
  request.headers = aMessage.headers;
  request.body = aMessage.body;
  return request;
}
}

int
Listen(const Address& aAddress)
{
  constexpr int kBacklog = 256;
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  auto address = ToSocketAddress(aAddress);
  bool isOpen =
    bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
      0 &&
    listen(listener, kBacklog) == 0;
  if (!isOpen) {
    close(listener);
    return -1;
  }
  return listener;
}

int
Connect(const Address& aAddress)
{
  int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  auto address = ToSocketAddress(aAddress);
  if (connect(connection,
              reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

bool
WriteAll(int aSocket, const std::string& aData)
{
  std::size_t written = 0;
  while (written < aData.size()) {
    auto size = send(
      aSocket, aData.data() + written, aData.size() - written, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(size);
  }
  return true;
}

void
Reset(int aSocket)
{
  linger discard{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  close(aSocket);
}

HttpServer::HttpServer(Address aAddress, Handler aHandler)
  : address_(std::move(aAddress))
  , handler_(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  Close();
  while (threads_ > 0) {
    SleepMs(1);
  }
}

bool
HttpServer::Open()
{
  int listener = Listen(address_);
  if (listener < 0) {
    return false;
  }
  std::scoped_lock lock(mutex_);
  listener_ = listener;
  ++threads_;
  std::thread([this, listener] {
    Accept(listener);
    --threads_;
  }).detach();
  return true;
}

void
HttpServer::Close()
{
  std::scoped_lock lock(mutex_);
  if (listener_ >= 0) {
    // This also ends the thread that accepts connections.
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    listener_ = -1;
  }
  for (int connection : sockets_) {
    linger discard{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    // The connection's thread closes the socket, with a reset.
    shutdown(connection, SHUT_RD);
  }
}

void
HttpServer::Accept(int aListener)
{
  while (true) {
    int connection = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      return;
    }
    int enabled = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    std::scoped_lock lock(mutex_);
    if (listener_ != aListener) {
      Reset(connection);
      return;
    }
    sockets_.insert(connection);
    ++threads_;
    std::thread([this, connection] {
      Serve(connection);
      --threads_;
    }).detach();
  }
}

void
HttpServer::Serve(int aSocket)
{
  std::string buffer;
  bool isOpen = true;
  while (isOpen) {
    auto message = TakeMessage(buffer);
    if (!message) {
      isOpen = ReadMore(aSocket, buffer);
      continue;
    }
    auto reply = handler_(ToRequest(*message));
    if (reply.status == kResetLast) {
      WaitForOtherConnections(aSocket);
      break;
    }
    if (reply.status == kReset) {
      break;
    }
    std::ostringstream text;
    text << "HTTP/1.1 " << reply.status << " x\r\n"
         << "Content-Type: application/json\r\n"
         << "Content-Length: " << reply.body.size() << "\r\n\r\n"
         << reply.body;
    isOpen = WriteAll(aSocket, text.str());
  }
  std::scoped_lock lock(mutex_);
  sockets_.erase(aSocket);
  if (isOpen) {
    Reset(aSocket);
  } else {
    close(aSocket);
  }
}

void
HttpServer::WaitForOtherConnections(int aSocket)
{
  constexpr std::int64_t kMaxWaitMs = 50;
  auto until = NowMs() + kMaxWaitMs;
  while (NowMs() < until) {
    {
      std::scoped_lock lock(mutex_);
      if (sockets_.size() == sockets_.count(aSocket)) {
        return;
      }
    }
    std::this_thread::yield();
  }
}

std::string
CallResult::Text() const
{
  switch (end) {
    case CallEnd::Answered:
      return std::to_string(status) + " " + body;
    case CallEnd::Refused:
      return "connection refused";
    case CallEnd::Broken:
      return "connection broken";
    case CallEnd::TimedOut:
      return "no answer in time";
  }
  return {};
}

CallResult
Send(const Call& aCall)
{
  CallResult result;
  auto deadline = NowMs() + aCall.timeoutMs;
  int connection = Connect(aCall.to);
  if (connection < 0) {
    result.end = CallEnd::Refused;
    return result;
  }
  std::ostringstream text;
  text << aCall.method << " " << aCall.path << " HTTP/1.1\r\n";
  for (const auto& [name, value] : aCall.headers) {
    text << name << ": " << value << "\r\n";
  }
  if (!aCall.headers.contains("Host")) {
    text << "Host: " << aCall.to.Text() << "\r\n";
  }
  text << "Content-Type: application/json\r\nContent-Length: "
       << aCall.body.size() << "\r\n\r\n"
       << aCall.body;
  bool isSent = WriteAll(connection, text.str());
  std::string buffer;
  result.end = isSent ? CallEnd::TimedOut : CallEnd::Broken;
  while (isSent && NowMs() < deadline) {
    pollfd wait{ connection, POLLIN, 0 };
    poll(&wait,
         1,
         static_cast<int>(std::max<std::int64_t>(deadline - NowMs(), 0)));
    if (wait.revents == 0) {
      continue;
    }
    if (!ReadMore(connection, buffer)) {
      result.end = CallEnd::Broken;
      break;
    }
    auto message = TakeMessage(buffer);
    if (message) {
      std::string version;
      std::istringstream(message->startLine) >> version >> result.status;
      result.body = message->body;
      result.end = CallEnd::Answered;
      break;
    }
  }
  close(connection);
  return result;
}

}
