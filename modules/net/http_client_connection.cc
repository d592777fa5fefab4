#include "modules/net/http_client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "modules/net/loop_time.h"

namespace chicory {

namespace asio = boost::asio;

namespace {

/** Several round trips between data centres. TCP's retransmission of a lost SYN
    takes longer than an attempt at another server. */
constexpr std::chrono::milliseconds kConnectTimeout(150);

}  // namespace

HttpClientConnection::HttpClientConnection(asio::io_context& loop,
                                           Endpoint peer)
    : loop_(loop), peer_(peer), socket_(loop), connect_timer_(loop) {}

HttpClientConnection::~HttpClientConnection() = default;

void HttpClientConnection::Exchange(std::string request,
                                    bool head_only,
                                    Listener* listener) {
  listener_ = listener;
  request_ = std::move(request);
  parser_.emplace(head_only);
  unparsed_.clear();
  request_written_ = false;
  write_failed_ = false;
  is_paused_ = false;
  ++exchange_count_;
  if (closed_) {
    asio::post(loop_,
               [self = shared_from_this()] { self->Fail(Failure::kConnect); });
    return;
  }
  if (connected_)
    Write();
  else
    Connect();
}

void HttpClientConnection::Connect() {
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->connected_)
          self->Fail(Failure::kConnect);
      });
  const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(peer_.ip),
                                         peer_.port);
  socket_.async_connect(endpoint, [self = shared_from_this()](
                                      const boost::system::error_code& error) {
    self->OnConnected(error);
  });
}

void HttpClientConnection::OnConnected(const boost::system::error_code& error) {
  connect_timer_.cancel();
  if (closed_)
    return;
  if (error) {
    Fail(Failure::kConnect);
    return;
  }
  connected_ = true;
  SetLivenessOptions(socket_.native_handle());
  Write();
}

void HttpClientConnection::Write() {
  asio::async_write(socket_, asio::buffer(request_),
                    [self = shared_from_this(), exchange = exchange_count_](
                        const boost::system::error_code& error, size_t) {
                      if (self->closed_ || exchange != self->exchange_count_)
                        return;
                      // After a failed write the response may still arrive, so
                      // the read decides how the exchange ends.
                      self->request_written_ = !error;
                      self->write_failed_ = !!error;
                      // Kept connections would otherwise keep their last
                      // request.
                      std::string().swap(self->request_);
                    });
  if (!reading_)
    Read();
}

void HttpClientConnection::Read() {
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t count) {
        if (error == asio::error::eof && !self->is_write_settled()) {
          self->AwaitWriteBeforeEnd();
          return;
        }
        self->reading_ = false;
        self->FailOnException([&] { self->OnBytes(error, count); });
      });
}

void HttpClientConnection::AwaitWriteBeforeEnd() {
  asio::post(loop_, [self = shared_from_this()] {
    self->reading_ = false;
    self->FailOnException([&] { self->OnBytes(asio::error::eof, 0); });
  });
}

template <class Step>
void HttpClientConnection::FailOnException(Step&& step) {
  try {
    step();
  } catch (...) {
    Fail(Failure::kBroken);
    throw;
  }
}

void HttpClientConnection::OnBytes(const boost::system::error_code& error,
                                   size_t count) {
  if (closed_)
    return;
  if (!listener_ || !parser_ || parser_->state() != ParseState::kNeedMore) {
    // Neither data nor an end of file is expected on an idle connection.
    Close();
    return;
  }
  // A reset is reported only once. If the write meets it first, reads end as if
  // the peer had closed the connection in good order.
  // @see AwaitWriteBeforeEnd
  const bool is_orderly_end = error == asio::error::eof && !write_failed_;
  if (is_orderly_end) {
    parser_->FeedEof();
    closed_ = true;
  } else if (error) {
    Fail(Failure::kBroken);
    return;
  } else {
    Feed(absl::string_view(read_buffer_.data(), count));
  }
  if (parser_->state() == ParseState::kMalformed) {
    // To the parser, an end within a response is malformed too.
    Fail(is_orderly_end ? Failure::kBroken : Failure::kMalformed);
    return;
  }
  if (parser_->state() == ParseState::kComplete) {
    has_surplus_bytes_ = !unparsed_.empty();
    idle_since_ = SteadyNow();
  }
  const auto self = shared_from_this();
  if (parser_->started())
    listener_->OnResponse(*parser_);
  if (!closed_ && !reading_ && !is_paused_)
    Read();
}

void HttpClientConnection::PauseReading(bool is_paused) {
  is_paused_ = is_paused;
  if (!is_paused && connected_ && !closed_ && !reading_)
    Read();
}

void HttpClientConnection::Feed(absl::string_view bytes) {
  if (unparsed_.empty()) {
    bytes.remove_prefix(parser_->Feed(bytes));
    unparsed_.assign(bytes.data(), bytes.size());
    return;
  }
  unparsed_.append(bytes.data(), bytes.size());
  unparsed_.erase(0, parser_->Feed(unparsed_));
  // An idle connection would otherwise keep the buffer.
  if (unparsed_.empty())
    std::string().swap(unparsed_);
}

bool HttpClientConnection::IsReusable() const {
  return connected_ && !closed_ && request_written_ && !has_surplus_bytes_ &&
         parser_ && parser_->state() == ParseState::kComplete &&
         parser_->head().keep_alive;
}

void HttpClientConnection::Close() {
  closed_ = true;
  listener_ = nullptr;
  connect_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void HttpClientConnection::Fail(Failure failure) {
  Listener* listener = std::exchange(listener_, nullptr);
  const auto self = shared_from_this();
  Close();
  if (listener)
    listener->OnFailure(failure);
}

}  // namespace chicory
