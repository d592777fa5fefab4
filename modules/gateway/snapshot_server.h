#ifndef MODULES_GATEWAY_SNAPSHOT_SERVER_H_
#define MODULES_GATEWAY_SNAPSHOT_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "modules/decisions/transfer_limit.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/snapshot_delegate.h"
#include "modules/net/http_server.h"

namespace chicory {

/** Serves the content in force on this instance as `GET /snapshot` to other
    instances, on the address of their datagrams.

    A snapshot is encoded when it is requested, kept for a few seconds and
    encoded again if the content has changed. Requests beyond the limits on
    transfers are refused at once with 503, so that their senders ask others.

    Must only be used on the event loop's thread.

    @see SnapshotFetcher */
class SnapshotServer : public HttpServer::Delegate {
 public:
  /** `delegate` and `metrics` must outlive this object. */
  SnapshotServer(boost::asio::io_context& loop,
                 GatewayMetrics& metrics,
                 const SnapshotDelegate* delegate);

  /** Fails with kUnavailable if the address cannot be bound. */
  Result<void> Listen(Endpoint address) { return server_.Listen(address); }
  /** Frees a snapshot that has not been requested for a while. */
  void Expire(absl::Time now);

  std::shared_ptr<HttpHandler> NewHandler() override;
  HttpServer::Limits limits() const override;

 private:
  class Handler;

  /** Encodes the content if the encoded form is missing or outdated. */
  void Update(SnapshotPlan::Content content, absl::Time now);

  boost::asio::io_context& loop_;
  GatewayMetrics& metrics_;
  const SnapshotDelegate* delegate_;
  /** Shared with the handlers, which may outlive this object. */
  std::shared_ptr<TransferLimit> limit_;
  /** The snapshot that was encoded last. */
  std::string encoded_;
  SnapshotPlan::Content encoded_content_;
  absl::Time encoded_at_ = absl::InfinitePast();
  HttpServer server_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_SNAPSHOT_SERVER_H_
