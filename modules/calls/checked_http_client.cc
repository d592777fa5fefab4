#include "modules/calls/checked_http_client.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/net/http_message.h"

namespace chicory {

namespace {

constexpr int kDefaultPort = 80;
constexpr size_t kReadBytes = 4096;

std::string HostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

int PortOf(const std::string& address) {
  const size_t colon = address.rfind(':');
  int port = kDefaultPort;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port))
    return kDefaultPort;
  return port;
}

/** Returns whether a field describes the connection or the framing, which
    CheckedStream replaces by its own. */
bool IsReplaced(const std::string& name, absl::string_view connection) {
  return absl::EqualsIgnoreCase(name, "Content-Length") ||
         IsHopByHop(name, connection);
}

/** Parses what another stream reads and lets the library read the response in
    one form, whatever its framing was: a plain head and a body in chunks. */
class CheckedStream : public httplib::Stream {
 public:
  CheckedStream(httplib::Stream* stream, size_t max_body_bytes)
      : stream_(stream), max_body_bytes_(max_body_bytes) {}

  bool is_readable() const override {
    return accepted_.size() > taken_ || stream_->is_readable();
  }
  bool is_writable() const override { return stream_->is_writable(); }

  ssize_t read(char* data, size_t size) override {
    while (accepted_.size() == taken_) {
      if (!Receive())
        return -1;
    }
    const size_t count = std::min(size, accepted_.size() - taken_);
    std::memcpy(data, accepted_.data() + taken_, count);
    taken_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, size_t size) override {
    if (!parser_) {
      is_head_request_ = absl::StartsWith({data, size}, "HEAD ");
      parser_.emplace(is_head_request_);
    }
    return stream_->write(data, size);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    stream_->get_remote_ip_and_port(ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    stream_->get_local_ip_and_port(ip, port);
  }
  socket_t socket() const override { return stream_->socket(); }

  bool has_whole_response() const {
    return parser_ && parser_->state() == ParseState::kComplete &&
           !is_too_large_;
  }
  /** Returns whether bytes were received that follow the response. */
  bool has_surplus_bytes() const {
    return has_whole_response() && !unparsed_.empty();
  }

 private:
  /** Reads more of the response. Returns false if there is no more, or if it is
      malformed or too large. */
  bool Receive() {
    if (!parser_ || parser_->state() != ParseState::kNeedMore || is_too_large_)
      return false;
    std::array<char, kReadBytes> buffer;
    const ssize_t count = stream_->read(buffer.data(), buffer.size());
    if (count < 0)
      return false;
    if (count == 0) {
      parser_->FeedEof();
    } else {
      unparsed_.append(buffer.data(), static_cast<size_t>(count));
      unparsed_.erase(0, parser_->Feed(unparsed_));
    }
    accepted_.clear();
    taken_ = 0;
    if (parser_->state() != ParseState::kMalformed && parser_->has_head())
      Accept();
    return parser_->state() != ParseState::kMalformed && !is_too_large_;
  }

  /** Appends what was parsed since the last call to `accepted_`. */
  void Accept() {
    if (!has_accepted_head_)
      AcceptHead();
    has_accepted_head_ = true;
    const std::string body = parser_->TakeBody();
    body_bytes_ += body.size();
    is_too_large_ |= body_bytes_ > max_body_bytes_;
    if (is_too_large_) {
      accepted_.clear();
      return;
    }
    if (!body.empty())
      absl::StrAppend(&accepted_, absl::Hex(body.size()), "\r\n", body, "\r\n");
    if (parser_->state() == ParseState::kComplete)
      accepted_.append("0\r\n\r\n");
  }

  void AcceptHead() {
    const HttpResponseHead& head = parser_->head();
    const uint64_t announced = parser_->announced_length().value_or(0);
    is_too_large_ |= !is_head_request_ && announced > max_body_bytes_;
    // The library's pattern for status lines needs stack for each byte of the
    // reason.
    absl::StrAppend(&accepted_, "HTTP/1.1 ", head.status, " ",
                    HttpReason(head.status), "\r\n");
    const absl::string_view connection = head.headers.Find("Connection");
    for (const auto& [name, value] : head.headers.fields()) {
      if (!IsReplaced(name, connection))
        absl::StrAppend(&accepted_, name, ": ", value, "\r\n");
    }
    if (!head.keep_alive)
      accepted_.append("Connection: close\r\n");
    accepted_.append("Transfer-Encoding: chunked\r\n\r\n");
  }

  httplib::Stream* stream_;
  const size_t max_body_bytes_;
  /** Set once the request is being written. */
  std::optional<HttpResponseParser> parser_;
  bool is_head_request_ = false;
  std::string unparsed_;
  /** What the library may read, of which it has read `taken_` bytes. */
  std::string accepted_;
  size_t taken_ = 0;
  bool has_accepted_head_ = false;
  size_t body_bytes_ = 0;
  bool is_too_large_ = false;
};

}  // namespace

CheckedHttpClient::CheckedHttpClient(const std::string& address)
    : ClientImpl(HostOf(address), PortOf(address)) {}

bool CheckedHttpClient::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> callback) {
  return httplib::detail::process_client_socket(
      socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_,
      write_timeout_usec_, [this, &callback](httplib::Stream& stream) {
        CheckedStream checked(&stream, max_body_bytes_);
        if (!callback(checked) || !checked.has_whole_response())
          return false;
        if (checked.has_surplus_bytes())
          stop();
        return true;
      });
}

}  // namespace chicory
