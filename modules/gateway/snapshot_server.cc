#include "modules/gateway/snapshot_server.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "modules/net/loop_time.h"

namespace chicory {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/** Connections of instances that start; further ones are closed at once, which
    their instances take for a refusal. */
constexpr size_t kMaxConnections = 32;
/** Few at once, so that each is fast; about a third of the smallest link of
    14 Mbit/s, so that requests are served meanwhile. */
constexpr TransferLimit::Options kTransfers = {.max_transfers = 4,
                                               .bytes_per_second = 600'000};
/** Time after which a transfer is cut off; its receiver has asked another by
    then. */
constexpr absl::Duration kMaxTransferTime = absl::Seconds(2);
/** How long an encoded snapshot is used. Bounds the error of the times in it,
    which count from its encoding. */
constexpr absl::Duration kEncodedLifetime = absl::Seconds(2);
constexpr size_t kMaxRequestHeadBytes = 4 << 10;

}  // namespace

/** Handles one request. Counts as a transfer until its response is written. */
class SnapshotServer::Handler : public HttpHandler,
                                public std::enable_shared_from_this<Handler> {
 public:
  explicit Handler(SnapshotServer* server)
      : server_(server), limit_(server->limit_), timer_(server->loop_) {}
  ~Handler() override {
    if (is_transfer_)
      limit_->End();
  }

  void Start(HttpRequest request, ResponseWriter* response) override {
    if (request.path() != "/snapshot" || request.method != "GET") {
      response->SendComplete(kNotFound, {}, "");
      return;
    }
    const absl::Time now = SteadyNow();
    const SnapshotPlan::Content content = server_->delegate_->ContentInForce();
    if (content.is_complete())
      server_->Update(content, now);
    is_transfer_ =
        content.is_complete() && limit_->Begin(server_->encoded_.size(), now);
    server_->metrics_.OnSnapshot(is_transfer_ ? "sent" : "not_sent");
    if (!is_transfer_) {
      response->SendComplete(kUnavailable, {}, "");
      return;
    }
    AbortAfterTimeLimit(response);
    response->SendComplete(kOk, {}, server_->encoded_);
  }
  void OnCallerDisconnected() override { timer_.cancel(); }

 private:
  /** Ends the transfer if its receiver does not read it. */
  void AbortAfterTimeLimit(ResponseWriter* response) {
    timer_.expires_after(absl::ToChronoNanoseconds(kMaxTransferTime));
    timer_.async_wait([weak = weak_from_this(),
                       response](const boost::system::error_code& error) {
      // The connection releases the handler once the response is written,
      // and keeps itself alive until then.
      const auto self = weak.lock();
      if (!error && self)
        response->Abort();
    });
  }

  SnapshotServer* server_;
  std::shared_ptr<TransferLimit> limit_;
  boost::asio::steady_timer timer_;
  bool is_transfer_ = false;
};

SnapshotServer::SnapshotServer(boost::asio::io_context& loop,
                               GatewayMetrics& metrics,
                               const SnapshotDelegate* delegate)
    : loop_(loop),
      metrics_(metrics),
      delegate_(delegate),
      limit_(std::make_shared<TransferLimit>(kTransfers)),
      server_(loop, this, kMaxConnections) {}

std::shared_ptr<HttpHandler> SnapshotServer::NewHandler() {
  return std::make_shared<Handler>(this);
}

HttpServer::Limits SnapshotServer::limits() const {
  return {
      .parser = {.max_header_bytes = kMaxRequestHeadBytes, .max_body_bytes = 0},
      .header_timeout = absl::Seconds(1),
      .idle_timeout = absl::Seconds(2)};
}

void SnapshotServer::Update(SnapshotPlan::Content content, absl::Time now) {
  if (!encoded_.empty() && encoded_content_ == content &&
      now - encoded_at_ < kEncodedLifetime)
    return;
  encoded_ = EncodeSnapshot(delegate_->MakeSnapshot(now), now);
  encoded_content_ = content;
  encoded_at_ = now;
}

void SnapshotServer::Expire(absl::Time now) {
  if (encoded_.empty() || now - encoded_at_ < kEncodedLifetime)
    return;
  encoded_ = std::string();
}

}  // namespace chicory
