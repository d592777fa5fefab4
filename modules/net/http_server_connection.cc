#include "modules/net/http_server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "modules/net/loop_time.h"

namespace chicory {

namespace asio = boost::asio;

namespace {

/** How long a closing connection keeps reading. Closing with unread input would
    send a reset, which can destroy the response on its way. */
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);

constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket,
                                           HttpServer* server)
    : socket_(std::move(socket)),
      server_(server),
      timer_(socket_.get_executor()) {}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::Start() {
  SetKeepAliveOptions(socket_.native_handle());
  AwaitRequest();
}

template <class Step>
void HttpServerConnection::CloseOnException(Step&& step) {
  try {
    step();
  } catch (...) {
    Close();
    throw;
  }
}

bool HttpServerConnection::IsIdle(absl::Duration idle_for) const {
  const bool has_request = handler_ || !unsent_.empty() || !sending_.empty() ||
                           (parser_ && parser_->started());
  if (has_request || SteadyNow() < idle_since_ + idle_for)
    return false;
  boost::system::error_code ignored;
  return socket_.available(ignored) == 0;
}

void HttpServerConnection::RefusePartialRequest() {
  constexpr int kUnavailable = 503;
  const bool is_partial = parser_ && parser_->started() &&
                          parser_->state() == ParseState::kNeedMore;
  if (!is_partial || lingering_ || response_ended_)
    return;
  ++server_->closures_.refused_in_part;
  close_after_response_ = true;
  SendComplete(kUnavailable, {}, "");
}

void HttpServerConnection::AwaitRequest() {
  const HttpServer::Limits limits = server_->delegate_->limits();
  handler_.reset();
  parser_.emplace(limits.parser);
  response_ended_ = false;
  streaming_ = false;
  continue_sent_ = false;
  idle_since_ = SteadyNow();
  ArmTimer(limits.idle_timeout);
  ParseReceived();
}

void HttpServerConnection::Read() {
  if (reading_ || closed_ || unparsed_.size() > kMaxReadAheadBytes)
    return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t count) {
        self->reading_ = false;
        self->CloseOnException([&] { self->OnBytes(error, count); });
      });
}

void HttpServerConnection::OnBytes(const boost::system::error_code& error,
                                   size_t count) {
  if (closed_)
    return;
  if (error) {
    Close();
    return;
  }
  // The request of a refusal that is being written must not be started after
  // all.
  const bool is_refused = response_ended_ && !handler_;
  if (lingering_ || is_refused) {
    if (!std::exchange(discards_input_, true))
      ++server_->closures_.input_discarded;
    Read();
    return;
  }
  unparsed_.append(read_buffer_.data(), count);
  if (handler_)
    Read();
  else
    ParseReceived();
}

void HttpServerConnection::ParseReceived() {
  if (!unparsed_.empty()) {
    const bool was_started = parser_->started();
    unparsed_.erase(0, parser_->Feed(unparsed_));
    const HttpServer::Limits limits = server_->delegate_->limits();
    if (parser_->awaits_body())
      ArmTimer(limits.idle_timeout);
    else if (!was_started)
      ArmTimer(limits.header_timeout);
  }
  switch (parser_->state()) {
    case ParseState::kComplete:
      StartHandler();
      return;
    case ParseState::kMalformed:
      RefuseMalformedRequest();
      return;
    case ParseState::kNeedMore:
      break;
  }
  if (parser_->awaits_body() && parser_->expects_continue() &&
      !continue_sent_) {
    continue_sent_ = true;
    QueueWrite(kContinueResponse);
  }
  Read();
}

void HttpServerConnection::StartHandler() {
  timer_.cancel();
  HttpRequest request = parser_->Take();
  if (!request.keep_alive)
    close_after_response_ = true;
  accepts_chunks_ = request.accepts_chunks;
  is_head_request_ = absl::EqualsIgnoreCase(request.method, "HEAD");
  handler_ = server_->delegate_->NewHandler();
  Read();
  // The handler may respond at once. This reference keeps it alive if that
  // makes the connection release it.
  const auto handler = handler_;
  handler->Start(std::move(request), this);
}

void HttpServerConnection::RefuseMalformedRequest() {
  close_after_response_ = true;
  SendComplete(parser_->error_status(), {}, "");
}

std::string HttpServerConnection::FormatHead(int status,
                                             const HttpHeaders& headers) {
  if (server_->draining_)
    close_after_response_ = true;
  std::string head =
      absl::StrCat("HTTP/1.1 ", status, " ", HttpReason(status), "\r\n");
  for (const auto& [name, value] : headers.fields())
    absl::StrAppend(&head, name, ": ", value, "\r\n");
  if (close_after_response_)
    head.append("Connection: close\r\n");
  return head;
}

void HttpServerConnection::SendComplete(int status,
                                        const HttpHeaders& headers,
                                        const std::string& body) {
  if (closed_ || response_ended_)
    return;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  std::string bytes = FormatHead(status, headers);
  const bool has_length = status != kNoContent && status != kNotModified &&
                          !(is_head_request_ && headers.Has("Content-Length"));
  if (has_length)
    absl::StrAppend(&bytes, "Content-Length: ", body.size(), "\r\n");
  bytes.append("\r\n");
  if (!is_head_request_)
    bytes.append(body);
  response_ended_ = true;
  QueueWrite(std::move(bytes));
}

void HttpServerConnection::BeginStream(int status, const HttpHeaders& headers) {
  if (closed_ || response_ended_)
    return;
  streaming_ = true;
  if (!accepts_chunks_) {
    close_after_response_ = true;
    QueueWrite(absl::StrCat(FormatHead(status, headers), "\r\n"));
    return;
  }
  QueueWrite(absl::StrCat(FormatHead(status, headers),
                          "Transfer-Encoding: chunked\r\n\r\n"));
}

void HttpServerConnection::SendChunk(const std::string& bytes) {
  if (closed_ || !streaming_ || bytes.empty())
    return;
  if (!accepts_chunks_) {
    QueueWrite(bytes);
    return;
  }
  QueueWrite(absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"));
}

void HttpServerConnection::EndStream() {
  if (closed_ || !streaming_)
    return;
  response_ended_ = true;
  QueueWrite(accepts_chunks_ ? "0\r\n\r\n" : "");
}

void HttpServerConnection::Abort() {
  if (handler_)
    handler_.reset();
  Close();
}

void HttpServerConnection::QueueWrite(std::string bytes) {
  unsent_.append(bytes);
  if (unsent_.size() > kMaxUnsentBytes) {
    Close();
    return;
  }
  if (sending_.empty())
    Flush();
}

void HttpServerConnection::Flush() {
  sending_ = std::exchange(unsent_, {});
  asio::async_write(socket_, asio::buffer(sending_),
                    [self = shared_from_this()](
                        const boost::system::error_code& error, size_t) {
                      self->CloseOnException([&] { self->OnFlushed(error); });
                    });
}

void HttpServerConnection::OnFlushed(const boost::system::error_code& error) {
  sending_.clear();
  if (closed_)
    return;
  if (error) {
    Close();
    return;
  }
  if (!unsent_.empty()) {
    Flush();
    return;
  }
  if (response_ended_)
    FinishResponse();
}

void HttpServerConnection::FinishResponse() {
  handler_.reset();
  if (close_after_response_)
    Linger();
  else
    AwaitRequest();
}

void HttpServerConnection::Linger() {
  lingering_ = true;
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  ArmTimer(kLingerTimeout);
  unparsed_.clear();
  Read();
}

void HttpServerConnection::ArmTimer(absl::Duration wait) {
  timer_.expires_after(absl::ToChronoNanoseconds(wait));
  timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        // The callback of an expired timer may already be queued when the timer
        // is set again, and is then called without an error.
        const bool expired =
            self->timer_.expiry() <= asio::steady_timer::clock_type::now();
        if (!error && !self->closed_ && expired)
          self->CloseOnException([&] { self->OnTimeout(); });
      });
}

void HttpServerConnection::OnTimeout() {
  constexpr int kRequestTimeout = 408;
  if (handler_)
    return;
  const bool partly_read = parser_ && parser_->started() && !response_ended_;
  if (!partly_read || lingering_) {
    Close();
    return;
  }
  close_after_response_ = true;
  SendComplete(kRequestTimeout, {}, "");
}

void HttpServerConnection::Close() {
  if (closed_)
    return;
  closed_ = true;
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  // Without chunks an orderly end would make a part of a stream look whole.
  const bool is_partial_stream =
      streaming_ && (!response_ended_ || !sending_.empty());
  if (is_partial_stream && !accepts_chunks_)
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  timer_.cancel();
  const auto handler = std::exchange(handler_, nullptr);
  if (handler)
    handler->OnCallerDisconnected();
  server_->connections_.erase(self);
}

}  // namespace chicory
