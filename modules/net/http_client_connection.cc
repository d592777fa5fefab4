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

/** Time for a connection to come about; the network's own retry of a lost
    opening packet takes longer than a new try elsewhere. */
constexpr std::chrono::milliseconds kConnectTimeout(400);

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
  unread_.clear();
  written_ = false;
  ++exchanges_;
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
                    [self = shared_from_this(), exchange = exchanges_](
                        const boost::system::error_code& error, size_t) {
                      if (self->closed_ || exchange != self->exchanges_)
                        return;
                      // A response may still be on its way after a failed
                      // write.
                      if (!error)
                        self->written_ = true;
                    });
  if (!reading_)
    Read();
}

void HttpClientConnection::Read() {
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(bytes_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t count) {
        self->reading_ = false;
        self->OnBytes(error, count);
      });
}

void HttpClientConnection::OnBytes(const boost::system::error_code& error,
                                   size_t count) {
  if (closed_)
    return;
  if (!listener_ || !parser_ || parser_->state() != ParseState::kNeedMore) {
    // Idle: whatever comes, the connection is of no more use.
    Close();
    return;
  }
  if (error == asio::error::eof) {
    parser_->FeedEof();
    closed_ = true;
  } else if (error) {
    Fail(Failure::kBroken);
    return;
  } else {
    unread_.append(bytes_.data(), count);
    unread_.erase(0, parser_->Feed(unread_));
  }
  if (parser_->state() == ParseState::kMalformed) {
    Fail(Failure::kBroken);
    return;
  }
  if (parser_->state() == ParseState::kComplete) {
    surplus_ = !unread_.empty();
    idle_since_ = SteadyNow();
  }
  const auto self = shared_from_this();
  if (parser_->started())
    listener_->OnResponse(*parser_);
  if (!closed_ && !reading_)
    Read();
}

bool HttpClientConnection::IsReusable() const {
  return connected_ && !closed_ && written_ && !surplus_ && parser_ &&
         parser_->state() == ParseState::kComplete &&
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
