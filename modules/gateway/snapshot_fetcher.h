#ifndef MODULES_GATEWAY_SNAPSHOT_FETCHER_H_
#define MODULES_GATEWAY_SNAPSHOT_FETCHER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/core/event_log.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/snapshot_delegate.h"
#include "modules/net/http_client.h"
#include "modules/peers/membership.h"

namespace chicory {

/** Fetches the content from other instances while the source has not answered
    this one since its start. Carries out what SnapshotPlan decides.

    Must only be used on the event loop's thread.

    @see SnapshotServer */
class SnapshotFetcher {
 public:
  struct Options {
    /** Port of the other instances' datagrams and snapshots. */
    uint16_t port = 0;
    /** @see SnapshotPlan::SnapshotPlan */
    uint64_t seed = 1;
  };

  /** The references and `delegate` must outlive this object. */
  SnapshotFetcher(boost::asio::io_context& loop,
                  Options options,
                  const Membership& membership,
                  EventLog& log,
                  GatewayMetrics& metrics,
                  SnapshotDelegate* delegate);
  ~SnapshotFetcher();

  SnapshotPlan& plan() { return plan_; }
  /** Processes the header of a received datagram. */
  void OnMessage(const PeerMessage& message);
  /** Must be called every PlacementNode::kTick while IsBusy, and several times
      a second otherwise. */
  void Tick(absl::Time now);
  /** Returns whether this instance waits for its first content. */
  bool IsBusy() const;

 private:
  struct Fetch {
    InstanceIp peer = 0;
    absl::Time started;
    std::unique_ptr<HttpClient> client;
  };
  struct Held {
    InstanceIp peer = 0;
    Snapshot snapshot;
  };

  /** Asks another instance if the plan says so. */
  void StartNext(absl::Time now);
  void Start(InstanceIp peer, absl::Time now);
  void OnResult(InstanceIp peer,
                absl::Time started,
                const HttpCallResult& result);
  void OnFailed(InstanceIp peer,
                SnapshotPlan::Failure failure,
                int status,
                absl::Time now);

  boost::asio::io_context& loop_;
  const Options options_;
  const Membership& membership_;
  EventLog& log_;
  GatewayMetrics& metrics_;
  SnapshotDelegate* delegate_;
  SnapshotPlan plan_;
  std::vector<Fetch> fetches_;
  std::optional<Held> held_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_SNAPSHOT_FETCHER_H_
