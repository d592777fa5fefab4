#include "modules/serving/socket_stream.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "modules/net/http_message.h"

namespace chicory {

namespace {

constexpr size_t kReadBufferBytes = 16 << 10;

/** Bounds the head of a request, and what comes with the chunks of its body
    beyond kMaxFramingFactor bytes for each byte of it. */
constexpr size_t kMaxHeadBytes = 64 << 10;
constexpr size_t kMaxFramingFactor = 8;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;

/** Reads the address that `function`, such as getpeername, returns. */
template <class Function>
void ReadAddress(Function function, int socket, std::string* ip, int* port) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  if (function(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0)
    return;
  const uint32_t host = ntohl(address.sin_addr.s_addr);
  *ip = absl::StrCat(host >> 24, ".", (host >> 16) & 255, ".",
                     (host >> 8) & 255, ".", host & 255);
  *port = ntohs(address.sin_port);
}

}  // namespace

bool PollSocket(int socket, short events, absl::Duration wait) {
  pollfd entry{.fd = socket, .events = events, .revents = 0};
  const int timeout_ms =
      static_cast<int>(std::max<int64_t>(0, absl::ToInt64Milliseconds(wait)));
  int ready = 0;
  do {
    ready = ::poll(&entry, 1, timeout_ms);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

SocketStream::SocketStream(int socket, const HttpApiServer::Options& options)
    : socket_(socket), options_(options), buffer_(kReadBufferBytes) {
  if (!options_.memory)
    return;
  const absl::MutexLock lock(&options_.memory->mutex);
  reservation_.emplace(&options_.memory->budget, PeerIp(), this);
}

SocketStream::~SocketStream() {
  if (!options_.memory)
    return;
  const absl::MutexLock lock(&options_.memory->mutex);
  reservation_.reset();
}

void SocketStream::Interrupt(const MemoryBudget::Eviction& eviction) {
  is_interrupted_ = true;
  ::shutdown(socket_, SHUT_RD);
  if (options_.on_ended)
    options_.on_ended(eviction);
}

void SocketStream::BeginRequest() {
  read_deadline_ = absl::Now() + options_.request_timeout;
  discards_library_writes_ = false;
  is_aborted_ = false;
  has_requests_ = true;
  has_read_head_ = false;
  head_bytes_ = 0;
  body_bytes_ = 0;
  framing_bytes_ = 0;
  SetPhase(Phase::kReading);
  if (!options_.memory)
    return;
  const absl::MutexLock lock(&options_.memory->mutex);
  reservation_->Begin();
}

std::optional<HeadRefusal> SocketStream::ReceiveHead() {
  HttpRequestParser parser(
      {.max_header_bytes = kMaxHeadBytes,
       .max_body_bytes = std::numeric_limits<size_t>::max(),
       .head_only = true});
  // Requests may follow each other without a pause.
  head_.erase(0, taken_from_head_);
  taken_from_head_ = 0;
  size_t parsed = 0;
  while (true) {
    head_.append(buffer_.data() + begin_, end_ - begin_);
    begin_ = end_;
    parsed += parser.Feed(absl::string_view(head_).substr(parsed));
    if (parser.state() == ParseState::kComplete)
      return std::nullopt;
    if (parser.state() == ParseState::kMalformed)
      return HeadRefusal{.status = parser.error_status(),
                         .reason = parser.error_reason()};
    if (!FillBuffer())
      return MissingHead(parser.started());
  }
}

void SocketStream::ReplaceHead(std::string head) {
  head_ = std::move(head);
  taken_from_head_ = 0;
  begin_ = end_ = 0;
}

HeadRefusal SocketStream::MissingHead(bool has_begun) const {
  // A response to no request would be taken for that to the next one.
  if (!has_begun)
    return {.status = std::nullopt, .reason = "no_request"};
  if (is_interrupted_)
    return {.status = kUnavailable, .reason = "ended_for_others"};
  if (absl::Now() >= read_deadline_)
    return {.status = kRequestTimeout, .reason = "timeout"};
  return {.status = std::nullopt, .reason = "caller_closed"};
}

void SocketStream::OnHeadRead(bool announces_body) {
  has_read_head_ = true;
  has_unread_body_ = announces_body;
  SetPhase(Phase::kHandling);
}

bool SocketStream::ReadBody(const httplib::ContentReader& reader,
                            std::string* body,
                            httplib::Response* response) {
  SetPhase(Phase::kReading);
  is_reading_body_ = true;
  bool is_too_large = false;
  const bool is_read = reader([&](const char* data, size_t size) {
    is_too_large = size > options_.max_body_bytes - body->size();
    if (is_too_large || is_interrupted_)
      return false;
    body->append(data, size);
    body_bytes_ = body->size();
    Hold(body->capacity(), /*can_end=*/true);
    return true;
  });
  is_reading_body_ = false;
  SetPhase(Phase::kHandling);
  if (is_read && !is_interrupted_) {
    has_unread_body_ = false;
    // The parsed request and the copies for upstreams take about as much
    // twice over.
    Hold(3 * body->capacity(), /*can_end=*/false);
    return true;
  }
  std::string().swap(*body);
  Hold(0, /*can_end=*/false);
  if (is_interrupted_)
    response->status = kUnavailable;
  else if (is_too_large)
    response->status = kTooLarge;
  else if (response->status < kBadRequest)
    response->status = kBadRequest;
  Abort();
  return false;
}

void SocketStream::EndRequest() {
  Hold(0, /*can_end=*/false);
  SetPhase(Phase::kWaiting);
}

uint32_t SocketStream::PeerIp() const {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  const int result =
      ::getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
  return result == 0 ? ntohl(address.sin_addr.s_addr) : 0;
}

bool SocketStream::is_readable() const {
  return HasBuffered() || PollSocket(socket_, POLLIN, options_.request_timeout);
}

bool SocketStream::is_writable() const {
  return PollSocket(socket_, POLLOUT, options_.write_timeout);
}

ssize_t SocketStream::read(char* data, size_t size) {
  if (!HasBuffered() && !FillBuffer())
    return -1;
  const size_t count = TakeBuffered(data, size);
  return IsWithinBounds(count) ? static_cast<ssize_t>(count) : -1;
}

size_t SocketStream::TakeBuffered(char* data, size_t size) {
  if (taken_from_head_ == head_.size()) {
    const size_t count = std::min(size, end_ - begin_);
    std::copy_n(buffer_.data() + begin_, count, data);
    begin_ += count;
    return count;
  }
  const size_t count = head_.copy(data, size, taken_from_head_);
  taken_from_head_ += count;
  if (taken_from_head_ < head_.size())
    return count;
  // Not kept by a connection that waits for its next request.
  std::string().swap(head_);
  taken_from_head_ = 0;
  return count;
}

ssize_t SocketStream::write(const char* data, size_t size) {
  if (discards_library_writes_)
    return static_cast<ssize_t>(size);
  return Send(std::string_view(data, size)) ? static_cast<ssize_t>(size) : -1;
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(::getpeername, socket_, &ip, &port);
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(::getsockname, socket_, &ip, &port);
}

bool SocketStream::Send(std::string_view data) {
  while (!data.empty()) {
    const ssize_t sent =
        ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      data.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    if (sent < 0 && errno == EINTR)
      continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
        PollSocket(socket_, POLLOUT, options_.write_timeout)) {
      continue;
    }
    is_aborted_ = true;
    can_write_ = false;
    return false;
  }
  return true;
}

bool SocketStream::DiscardInput(absl::Duration wait) {
  if (!PollSocket(socket_, POLLIN, wait))
    return true;
  ssize_t received = 0;
  do {
    received = ::recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
  } while (received < 0 && errno == EINTR);
  return received > 0 || (received < 0 && errno == EAGAIN);
}

void SocketStream::SetPhase(Phase phase) {
  phase_since_ns_ = absl::ToUnixNanos(absl::Now());
  phase_ = phase;
}

bool SocketStream::IsWithinBounds(size_t count) {
  if (!options_.memory)
    return true;
  if (!is_reading_body_) {
    head_bytes_ += count;
    return head_bytes_ <= kMaxHeadBytes;
  }
  framing_bytes_ += count;
  return framing_bytes_ <= kMaxHeadBytes + kMaxFramingFactor * body_bytes_;
}

void SocketStream::Hold(size_t bytes, bool can_end) {
  if (!options_.memory)
    return;
  const absl::MutexLock lock(&options_.memory->mutex);
  reservation_->Update(
      {.held_bytes = bytes, .progress_bytes = body_bytes_, .can_end = can_end});
}

bool SocketStream::FillBuffer() {
  const absl::Duration remaining = read_deadline_ - absl::Now();
  if (remaining <= absl::ZeroDuration() ||
      !PollSocket(socket_, POLLIN, remaining))
    return false;
  ssize_t received = 0;
  do {
    received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
  } while (received < 0 && errno == EINTR);
  if (received <= 0)
    return false;
  begin_ = 0;
  end_ = static_cast<size_t>(received);
  return true;
}

}  // namespace chicory
