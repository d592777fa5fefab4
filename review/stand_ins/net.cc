#include "review/stand_ins/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <memory>
#include <tuple>
#include <utility>

namespace review {

namespace {

constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr char kEndOfLine[] = "\r\n";
constexpr int kBacklog = 256;

sockaddr_in SocketAddress(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int Bind(const std::string& ip, uint16_t port, int type) {
  const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    return -1;
  const int on = 1;
  if (type == SOCK_STREAM)
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(ip, port);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

uint16_t LocalPort(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Trim(const std::string& text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos)
    return "";
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/** Splits a head into its first line and its fields. */
std::pair<std::string, Fields> ParseHead(const std::string& head) {
  const size_t first_end = head.find(kEndOfLine);
  Fields fields;
  size_t at = first_end;
  while (at != std::string::npos) {
    const size_t begin = at + 2;
    at = head.find(kEndOfLine, begin);
    const std::string line = head.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon != std::string::npos)
      fields.emplace(Lower(line.substr(0, colon)),
                     Trim(line.substr(colon + 1)));
  }
  return {head.substr(0, first_end), fields};
}

Milliseconds TimeLeft(Clock::time_point until) {
  return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(
                                       until - Clock::now()));
}

}  // namespace

std::string Request::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

const char* EndName(End end) {
  static constexpr const char* kNames[] = {"complete", "no-answer", "cut",
                                           "gave-up", "no-connection"};
  return kNames[static_cast<int>(end)];
}

Connection::~Connection() {
  ::close(descriptor_);
}

std::unique_ptr<Connection> Connection::Open(const Address& to,
                                             Milliseconds timeout) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0)
    return nullptr;
  auto connection = std::make_unique<Connection>(descriptor);
  const int flags = ::fcntl(descriptor, F_GETFL);
  ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in address = SocketAddress(to.ip, to.port);
  ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
            sizeof(address));
  pollfd wait{.fd = descriptor, .events = POLLOUT, .revents = 0};
  if (::poll(&wait, 1, static_cast<int>(timeout.count())) != 1)
    return nullptr;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    return nullptr;
  ::fcntl(descriptor, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connection;
}

bool Connection::Write(const std::string& bytes) {
  size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::send(descriptor_, bytes.data() + written,
                                 bytes.size() - written, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    written += static_cast<size_t>(count);
  }
  return true;
}

Connection::ReadResult Connection::ReadMore(Clock::time_point until) {
  pollfd wait{.fd = descriptor_, .events = POLLIN, .revents = 0};
  const int left = until == Clock::time_point::max()
                       ? -1
                       : static_cast<int>(TimeLeft(until).count());
  if (::poll(&wait, 1, left) == 0)
    return ReadResult::kTimeout;
  char bytes[16384];
  const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
  if (count <= 0)
    return ReadResult::kEnded;
  buffer_.append(bytes, static_cast<size_t>(count));
  return ReadResult::kBytes;
}

std::optional<size_t> Connection::ReadUntil(const std::string& text,
                                            Clock::time_point until,
                                            ReadResult* result) {
  while (true) {
    const size_t found = buffer_.find(text);
    if (found != std::string::npos)
      return found;
    *result = ReadMore(until);
    if (*result != ReadResult::kBytes)
      return std::nullopt;
  }
}

std::optional<Request> Connection::ReadRequest() {
  constexpr Clock::time_point kForever = Clock::time_point::max();
  ReadResult result = ReadResult::kBytes;
  const auto head_end = ReadUntil(kEndOfHead, kForever, &result);
  if (!head_end)
    return std::nullopt;
  const auto [line, fields] = ParseHead(buffer_.substr(0, *head_end));
  buffer_.erase(0, *head_end + 4);
  Request request{.fields = fields};
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  if (first == std::string::npos || second == std::string::npos)
    return std::nullopt;
  request.method = line.substr(0, first);
  request.target = line.substr(first + 1, second - first - 1);
  const std::string length = request.Field("content-length");
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size) {
    if (ReadMore(kForever) != ReadResult::kBytes)
      return std::nullopt;
  }
  request.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return request;
}

Response Connection::ReadResponse(Clock::time_point until) {
  const auto end_of = [this](ReadResult result, bool started) {
    if (result == ReadResult::kTimeout)
      return End::kGaveUp;
    return started || !buffer_.empty() ? End::kCut : End::kNoAnswer;
  };
  Response response;
  ReadResult result = ReadResult::kBytes;
  const auto head_end = ReadUntil(kEndOfHead, until, &result);
  if (!head_end) {
    response.end = end_of(result, false);
    return response;
  }
  std::string line;
  std::tie(line, response.fields) = ParseHead(buffer_.substr(0, *head_end));
  buffer_.erase(0, *head_end + 4);
  const size_t space = line.find(' ');
  response.status = space == std::string::npos
                        ? 0
                        : std::atoi(line.substr(space + 1, 3).c_str());
  const auto value = [&](const char* name) {
    const auto found = response.fields.find(name);
    return found == response.fields.end() ? std::string() : found->second;
  };
  response.keeps_connection = Lower(value("connection")) != "close";
  if (Lower(value("transfer-encoding")) != "chunked") {
    const std::string length = value("content-length");
    const size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer_.size() < size) {
      result = ReadMore(until);
      if (result != ReadResult::kBytes) {
        response.end = end_of(result, true);
        return response;
      }
    }
    response.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    response.end = End::kComplete;
    return response;
  }
  while (true) {
    const auto line_end = ReadUntil(kEndOfLine, until, &result);
    if (!line_end) {
      response.end = end_of(result, true);
      return response;
    }
    const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    while (buffer_.size() < *line_end + 2 + size + 2) {
      result = ReadMore(until);
      if (result != ReadResult::kBytes) {
        response.end = end_of(result, true);
        return response;
      }
    }
    response.body.append(buffer_, *line_end + 2, size);
    buffer_.erase(0, *line_end + 2 + size + 2);
    if (size > 0)
      continue;
    response.end = End::kComplete;
    return response;
  }
}

bool Connection::IsClosedByPeer() const {
  pollfd wait{.fd = descriptor_, .events = POLLIN | POLLRDHUP, .revents = 0};
  return ::poll(&wait, 1, 0) != 0;
}

void Connection::Reset() {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void Connection::Shutdown() {
  ::shutdown(descriptor_, SHUT_RDWR);
}

Server::~Server() {
  Stop();
}

bool Server::Start(const std::string& ip, uint16_t port) {
  listener_ = Bind(ip, port, SOCK_STREAM);
  if (listener_ < 0 || ::listen(listener_, kBacklog) != 0)
    return false;
  address_ = {.ip = ip, .port = LocalPort(listener_)};
  stopping_ = false;
  accept_thread_ = std::thread([this] { Accept(); });
  return true;
}

void Server::Accept() {
  while (!stopping_) {
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      continue;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopping_) {
      ::close(descriptor);
      return;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    open_.insert(descriptor);
    threads_.emplace_back([this, descriptor] { Serve(descriptor); });
  }
}

void Server::Serve(int descriptor) {
  Connection connection(descriptor);
  handler_(connection);
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(descriptor);
}

void Server::Stop() {
  if (listener_ < 0)
    return;
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  ::close(std::exchange(listener_, -1));
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (int descriptor : open_)
      ::shutdown(descriptor, SHUT_RDWR);
    threads.swap(threads_);
  }
  for (std::thread& thread : threads)
    thread.join();
}

uint16_t FreePort(const std::vector<std::string>& ips) {
  constexpr int kTries = 50;
  for (int i = 0; i < kTries; ++i) {
    const int first = Bind(ips.front(), 0, SOCK_STREAM);
    if (first < 0)
      return 0;
    const uint16_t port = LocalPort(first);
    ::close(first);
    const bool is_free =
        std::all_of(ips.begin(), ips.end(), [port](const std::string& ip) {
          for (int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int descriptor = Bind(ip, port, type);
            if (descriptor < 0)
              return false;
            ::close(descriptor);
          }
          return true;
        });
    if (is_free)
      return port;
  }
  return 0;
}

}  // namespace review
