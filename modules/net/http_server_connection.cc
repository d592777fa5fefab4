#include "modules/net/http_server_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
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

/** A response of which no byte could be written for this long may be closed for
    others. */
constexpr absl::Duration kMaxWritePause = absl::Seconds(3);

constexpr int kServiceUnavailable = 503;
/** Time after which the memory of an evicted request is available again. */
constexpr char kRetryAfterSeconds[] = "1";

constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

uint32_t PeerIp(const asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  const auto peer = socket.remote_endpoint(error);
  return error || !peer.address().is_v4() ? 0
                                          : peer.address().to_v4().to_uint();
}

/** Releases the memory of a string, which clear() keeps. */
void Release(std::string* text) {
  std::string().swap(*text);
}

}  // namespace

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket,
                                           HttpServer* server)
    : socket_(std::move(socket)),
      server_(server),
      timer_(socket_.get_executor()),
      reservation_(server->budget_, PeerIp(socket_), this) {}

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
  if (has_request() || lingering_ || SteadyNow() < idle_since_ + idle_for)
    return false;
  return !has_unread_input();
}

bool HttpServerConnection::has_request() const {
  return handler_ || !unsent_.empty() || !sending_.empty() ||
         (parser_ && parser_->started());
}

bool HttpServerConnection::is_partly_read() const {
  return parser_ && parser_->started() &&
         parser_->state() == ParseState::kNeedMore && !lingering_ &&
         !response_ended_;
}

void HttpServerConnection::RefusePartialRequest() {
  if (!is_partly_read())
    return;
  ++server_->closures_.refused_in_part;
  close_after_response_ = true;
  SendComplete(kServiceUnavailable, {}, "");
  DropRequest();
}

HttpServerConnection::Rank HttpServerConnection::rank() const {
  const bool is_idle =
      lingering_ || (!has_request() && !closed_ && !response_ended_);
  return {.is_closable = is_idle || is_partly_read(),
          .is_unused = lingering_ || !has_requests_,
          .is_idle = is_idle,
          .since = is_idle ? idle_since_ : begun_at_};
}

bool HttpServerConnection::has_unread_input() const {
  boost::system::error_code ignored;
  return !lingering_ && socket_.available(ignored) > 0;
}

void HttpServerConnection::CloseForAnother() {
  server_->delegate_->OnConnectionClosed(
      {.client = PeerIp(socket_),
       .held_bytes = reservation_.state().held_bytes,
       .progress_bytes = received_bytes_,
       .age = SteadyNow() - rank().since},
      is_partly_read() ? HttpServer::ClosedState::kPartialRequest
                       : HttpServer::ClosedState::kIdle);
  ++server_->closures_.for_another;
  Close();
}

void HttpServerConnection::OnEvicted(const MemoryBudget::Eviction& eviction) {
  sent_at_eviction_ = sent_bytes_;
  eviction_pending_ = true;
  server_->delegate_->OnConnectionClosed(
      eviction, handler_ ? HttpServer::ClosedState::kUnreadResponse
                         : HttpServer::ClosedState::kPartialRequest);
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    // The message may have ended meanwhile.
    if (!self->closed_ && self->eviction_pending_)
      self->CloseOnException([&] { self->Evict(); });
  });
}

void HttpServerConnection::Evict() {
  eviction_pending_ = false;
  // A response of which more has been written meanwhile continues.
  const bool has_progress = sent_bytes_ != sent_at_eviction_ ||
                            (!response_ended_ && sending_.empty());
  if (handler_ && has_progress) {
    reservation_.Begin();
    return;
  }
  // A refusal that is being written is not cut.
  if (!handler_ && response_ended_)
    return;
  ++server_->closures_.evicted;
  if (handler_) {
    Close();
    return;
  }
  close_after_response_ = true;
  HttpHeaders headers;
  headers.Add("Retry-After", kRetryAfterSeconds);
  SendComplete(kServiceUnavailable, headers, "");
  DropRequest();
}

void HttpServerConnection::DropRequest() {
  eviction_pending_ = false;
  parser_.reset();
  Release(&unparsed_);
  UpdateReservation();
}

void HttpServerConnection::UpdateBacklog() {
  const bool has_backlog = unsent_.size() + sending_.size() > kBacklogBytes;
  if (has_backlog == has_backlog_ || !handler_ || response_ended_)
    return;
  has_backlog_ = has_backlog;
  const auto handler = handler_;
  handler->OnBacklog(has_backlog);
}

void HttpServerConnection::UpdateReservation() {
  // Only the caller delays the release of what waits to be written.
  const bool is_unread =
      handler_ && (response_ended_ || streaming_) && !sending_.empty();
  const bool can_end = is_partly_read() || is_unread;
  reservation_.Update(
      {.held_bytes = unparsed_.capacity() + handled_bytes_ +
                     (parser_ ? parser_->body_capacity() : 0) +
                     unsent_.capacity() + sending_.capacity(),
       .progress_bytes = is_unread ? sent_bytes_ : received_bytes_,
       .can_end = can_end,
       .can_end_from =
           is_unread ? written_at_ + kMaxWritePause : absl::InfinitePast()});
}

void HttpServerConnection::AwaitRequest() {
  const HttpServer::Limits limits = server_->delegate_->limits();
  handler_.reset();
  parser_.emplace(limits.parser);
  handled_bytes_ = 0;
  has_backlog_ = false;
  response_ended_ = false;
  streaming_ = false;
  continue_sent_ = false;
  idle_since_ = SteadyNow();
  reservation_.Begin();
  ArmTimer(limits.idle_timeout);
  ParseReceived({});
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
  const absl::string_view bytes(read_buffer_.data(), count);
  if (!handler_) {
    ParseReceived(bytes);
    return;
  }
  unparsed_.append(bytes.data(), bytes.size());
  UpdateReservation();
  Read();
}

size_t HttpServerConnection::Feed(absl::string_view bytes) {
  if (unparsed_.empty()) {
    const size_t used = parser_->Feed(bytes);
    bytes.remove_prefix(used);
    unparsed_.assign(bytes.data(), bytes.size());
    return used;
  }
  unparsed_.append(bytes.data(), bytes.size());
  const size_t used = parser_->Feed(unparsed_);
  unparsed_.erase(0, used);
  // An idle connection would otherwise keep the buffer.
  if (unparsed_.empty())
    Release(&unparsed_);
  return used;
}

void HttpServerConnection::ParseReceived(absl::string_view bytes) {
  if (!bytes.empty() || !unparsed_.empty()) {
    const bool was_started = parser_->started();
    if (!was_started) {
      has_requests_ = true;
      received_bytes_ = 0;
      begun_at_ = SteadyNow();
      reservation_.Begin();
    }
    received_bytes_ += Feed(bytes);
    const HttpServer::Limits limits = server_->delegate_->limits();
    if (parser_->awaits_body())
      ArmTimer(limits.idle_timeout);
    else if (!was_started)
      ArmTimer(limits.header_timeout);
  }
  switch (parser_->state()) {
    case ParseState::kComplete:
      if (eviction_pending_)
        Evict();
      else
        StartHandler();
      return;
    case ParseState::kMalformed:
      RefuseMalformedRequest();
      return;
    case ParseState::kNeedMore:
      UpdateReservation();
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
  handled_bytes_ = request.body.capacity();
  if (!request.keep_alive)
    close_after_response_ = true;
  accepts_chunks_ = request.accepts_chunks;
  is_head_request_ = absl::EqualsIgnoreCase(request.method, "HEAD");
  handler_ = server_->delegate_->NewHandler();
  UpdateReservation();
  Read();
  // The handler may respond at once. This reference keeps it alive if that
  // makes the connection release it.
  const auto handler = handler_;
  handler->Start(std::move(request), this);
}

void HttpServerConnection::RefuseMalformedRequest() {
  close_after_response_ = true;
  server_->delegate_->OnMalformedRequest(
      PeerIp(socket_), parser_->error_status(), parser_->error_reason());
  SendComplete(parser_->error_status(), {}, "");
  DropRequest();
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
  BeginResponse();
  QueueWrite(std::move(bytes));
}

void HttpServerConnection::BeginStream(int status, const HttpHeaders& headers) {
  if (closed_ || response_ended_)
    return;
  streaming_ = true;
  BeginResponse();
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

void HttpServerConnection::BeginResponse() {
  // A refusal has no handler, and its request stays evicted.
  if (!handler_)
    return;
  sent_bytes_ = 0;
  reservation_.Begin();
}

void HttpServerConnection::OnWritten(size_t sent) {
  if (sent == sent_of_write_)
    return;
  sent_bytes_ += sent - sent_of_write_;
  sent_of_write_ = sent;
  written_at_ = SteadyNow();
  UpdateReservation();
}

void HttpServerConnection::QueueWrite(std::string bytes) {
  if (unsent_.empty())
    unsent_ = std::move(bytes);
  else
    unsent_.append(bytes);
  if (unsent_.size() > kMaxUnsentBytes && !response_ended_) {
    Close();
    return;
  }
  if (sending_.empty())
    Flush();
  UpdateReservation();
  UpdateBacklog();
}

void HttpServerConnection::Flush() {
  sending_ = std::exchange(unsent_, {});
  sent_of_write_ = 0;
  written_at_ = SteadyNow();
  asio::async_write(
      socket_, asio::buffer(sending_),
      // Called after each part that was written; returns the largest next one.
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t sent) -> size_t {
        self->OnWritten(sent);
        return error ? 0 : kMaxWriteBytes;
      },
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t) {
        self->CloseOnException([&] { self->OnFlushed(error); });
      });
}

void HttpServerConnection::OnFlushed(const boost::system::error_code& error) {
  Release(&sending_);
  if (closed_)
    return;
  if (error) {
    Close();
    return;
  }
  if (!unsent_.empty())
    Flush();
  else if (response_ended_)
    FinishResponse();
  UpdateReservation();
  UpdateBacklog();
}

void HttpServerConnection::FinishResponse() {
  handler_.reset();
  handled_bytes_ = 0;
  eviction_pending_ = false;
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
  DropRequest();
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
  if (!is_partly_read()) {
    Close();
    return;
  }
  close_after_response_ = true;
  SendComplete(kRequestTimeout, {}, "");
  DropRequest();
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
