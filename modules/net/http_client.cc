#include "modules/net/http_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace chicory {

HttpClient::HttpClient(boost::asio::io_context& loop, Endpoint server)
    : loop_(loop),
      server_(server),
      timer_(loop),
      self_(std::make_shared<HttpClient*>(this)) {}

HttpClient::~HttpClient() {
  Cancel();
}

void HttpClient::SetServer(Endpoint server) {
  if (server == server_)
    return;
  server_ = server;
  if (!is_busy())
    Cancel();
}

void HttpClient::Call(const Request& request, Done done) {
  done_ = std::move(done);
  body_.clear();
  max_body_bytes_ = request.max_body_bytes;
  if (!connection_ || !connection_->IsReusable() ||
      !(connection_->peer() == server_)) {
    if (connection_)
      connection_->Close();
    connection_ = std::make_shared<HttpClientConnection>(loop_, server_);
  }
  std::string bytes = absl::StrCat(request.method, " ", request.target,
                                   " HTTP/1.1\r\nHost: ", EndpointText(server_),
                                   "\r\n", request.extra_head);
  if (!request.body.empty()) {
    absl::StrAppend(&bytes, "Content-Type: application/json\r\n",
                    "Content-Length: ", request.body.size(), "\r\n");
  }
  absl::StrAppend(&bytes, "\r\n", request.body);
  timer_.expires_after(absl::ToChronoNanoseconds(request.timeout));
  timer_.async_wait([weak = std::weak_ptr<HttpClient*>(self_)](
                        const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self)
      (*self)->OnTimeout();
  });
  connection_->Exchange(std::move(bytes), false, this);
}

void HttpClient::OnTimeout() {
  // The callback of an expired timer may already be queued when the timer is
  // set again, and is then called without an error.
  if (!is_busy() ||
      timer_.expiry() > boost::asio::steady_timer::clock_type::now())
    return;
  connection_->Close();
  Finish({});
}

void HttpClient::Cancel() {
  done_ = nullptr;
  timer_.cancel();
  if (connection_)
    connection_->Close();
  connection_.reset();
}

void HttpClient::OnResponse(HttpResponseParser& parser) {
  body_.append(parser.TakeBody());
  const uint64_t expected_bytes =
      std::max<uint64_t>(body_.size(), parser.announced_length().value_or(0));
  if (expected_bytes > max_body_bytes_) {
    connection_->Close();
    Finish({});
    return;
  }
  if (parser.state() != ParseState::kComplete)
    return;
  Finish({.has_response = true,
          .status = parser.head().status,
          .body = std::move(body_)});
}

void HttpClient::OnFailure(HttpClientConnection::Failure) {
  Finish({});
}

void HttpClient::Finish(HttpCallResult outcome) {
  timer_.cancel();
  connection_->Detach();
  Done done = std::exchange(done_, nullptr);
  if (done)
    done(std::move(outcome));
}

}  // namespace chicory
