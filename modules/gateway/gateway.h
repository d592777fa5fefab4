#ifndef MODULES_GATEWAY_GATEWAY_H_
#define MODULES_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "modules/core/error.h"
#include "modules/gateway/gateway_inputs.h"
#include "modules/gateway/gateway_state.h"
#include "modules/gateway/source_watcher.h"
#include "modules/net/datagram_socket.h"
#include "modules/net/http_server.h"

namespace chicory {

/** One instance that takes callers' requests to upstreams on one event loop;
    the face of the gateway module, which may include core, decisions, routing,
    net and peers. RequestHandler is a request's way through it, WireCodec its
    interface to a dialect of header fields, GatewaySource to where
   configuration and upstreams come from.

    It listens for callers, for the balancer's question whether it is ready, and
    for operators, reads its source, and talks to the other instances. All
    its methods belong to the loop's thread. */
class Gateway : public GatewayInputs,
                public PlacementNode::Transport,
                public PlacementNode::Listener {
 public:
  struct Options {
    Endpoint callers;
    Endpoint ready;
    Endpoint operators;
    /** A further address for /metrics; port 0 for none. */
    Endpoint metrics;
    /** For datagrams of the other instances; they use the same port. */
    Endpoint peers;
    std::vector<InstanceIp> seeds;
    /** Longest time without word from an instance that watches the source. */
    absl::Duration watcher_timeout = absl::Milliseconds(1000);
    /** News elsewhere make this instance ask the source at most so often. */
    absl::Duration refresh_interval = absl::Milliseconds(500);
    size_t max_connections = 1000;
    RetryWindow::Options retries;
    /** From a stop signal to the end of the process, at most. */
    absl::Duration stop_within = absl::Seconds(8);
    std::string instance;
    uint64_t first_sequence = 1;
  };

  Gateway(boost::asio::io_context& loop,
          Options options,
          const WireCodec& codec,
          EventLog& log,
          GatewaySource* source);
  ~Gateway() override;

  /** Opens the listeners and reads the source. */
  Result<void> Start();
  /** Leaves the balancer, finishes what is under way, then calls `done`. */
  void BeginStop(std::function<void()> done);
  /** Replaces the instances that are asked first. */
  void SetSeeds(const std::vector<InstanceIp>& seeds);

  uint16_t callers_port() const { return callers_.port(); }
  uint16_t ready_port() const { return ready_.port(); }
  uint16_t operators_port() const { return operators_.port(); }

  void OnConfiguration(RoutingTable::Options options) override;
  void OnUpstreams(const std::vector<UpstreamRecord>& upstreams,
                   uint64_t revision,
                   bool after_outage) override;
  void OnUpstreamChanges(const UpstreamBatch& batch) override;
  void OnSourceReachable(const std::string& source,
                         bool reachable,
                         const std::string& reason) override;
  void OnInvalidInput(const std::string& what,
                      const std::string& reason) override;

  void Send(InstanceIp to, const PeerMessage& message) override;
  void OnDecision(const ScheduleDecision& decision,
                  InstanceIp scheduler) override;
  void OnNewerConfiguration(uint64_t version) override;
  void OnPeerUpstreamChanges(const UpstreamBatch& batch) override;
  void OnMissingUpstreamChange(uint64_t last_change) override;

 private:
  class CallerSite;
  class ReadySite;
  class OperatorSite;

  bool IsReady() const;
  std::string Metrics();
  /** A metrics address that cannot be had is logged and does no other harm. */
  void ListenForMetrics();
  /** Takes over changes from the source or from `origin`. */
  void ApplyUpstreams(const UpstreamBatch& batch, const char* origin);
  void TellUpstreams();
  /** Logs a change of the instance that schedules and of the live instances.
   */
  void NoteMembership(absl::Time now);
  void Tick();
  void ArmTick();
  /** Makes the next tick come soon if requests wait. */
  void HastenTick();
  void ContinueStop();

  Options options_;
  GatewaySource* source_;
  EventLog& log_;
  GatewayMetrics metrics_;
  PlacementNode placement_;
  SourceWatcher source_watcher_;
  GatewayState state_;
  std::unique_ptr<CallerSite> caller_site_;
  std::unique_ptr<ReadySite> ready_site_;
  std::unique_ptr<OperatorSite> operator_site_;
  HttpServer callers_;
  HttpServer ready_;
  HttpServer operators_;
  HttpServer metrics_listener_;
  DatagramSocket peers_;
  boost::asio::steady_timer tick_;
  bool tick_is_soon_ = false;
  boost::asio::steady_timer stop_timer_;
  absl::Time next_housekeeping_ = absl::InfinitePast();
  bool has_upstreams_ = false;
  InstanceIp scheduling_instance_ = 0;
  size_t live_instances_ = 0;
  std::function<void()> stopped_;
  absl::Time stop_began_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_H_
