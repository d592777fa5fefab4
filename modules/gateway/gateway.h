#ifndef MODULES_GATEWAY_GATEWAY_H_
#define MODULES_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "modules/core/error.h"
#include "modules/core/memory_budget.h"
#include "modules/gateway/configuration_wait.h"
#include "modules/gateway/gateway_inputs.h"
#include "modules/gateway/gateway_state.h"
#include "modules/gateway/instance_directory.h"
#include "modules/gateway/snapshot_fetcher.h"
#include "modules/gateway/snapshot_server.h"
#include "modules/gateway/source_watcher.h"
#include "modules/net/datagram_socket.h"
#include "modules/net/http_server.h"

namespace chicory {

/** One instance of the gateway: a reverse proxy that forwards callers' requests
    to upstreams on one event loop.

    It listens for callers, for the balancer's readiness checks and for
    operators, reads its source, and exchanges datagrams with the other
    instances. A RequestHandler handles each request; a WireCodec reads and
    writes the header fields of a platform, and a GatewaySource provides
    configuration and upstreams. All methods must be called on the event loop's
    thread.

    This is the public interface of the gateway module, which may include the
    modules core, decisions, routing, net and peers. */
class Gateway : public GatewayInputs,
                public PlacementNode::Transport,
                public PlacementNode::Listener,
                public SnapshotDelegate {
 public:
  struct Options {
    /** Address for callers' requests. */
    Endpoint callers;
    /** Address for the balancer's readiness checks. */
    Endpoint ready;
    /** Address for operators; serves /metrics. */
    Endpoint operators;
    /** An additional address that serves /metrics; port 0 for none. */
    Endpoint metrics;
    /** Receives datagrams of the other instances, which use the same port, and
        serves them snapshots over TCP. */
    Endpoint peers;
    std::vector<InstanceIp> seeds;
    /** Age of the last confirmation by the source, from whichever instance,
        at which this instance watches the source itself. */
    absl::Duration max_source_age = absl::Milliseconds(1400);
    /** Time without a confirmation to this instance, while it watches the
        source, after which it counts the source as lost. */
    absl::Duration max_source_silence = absl::Milliseconds(1600);
    /** Minimum time between two refreshes from the source that are caused by
        newer data at other instances. */
    absl::Duration refresh_interval = absl::Milliseconds(500);
    /** Maximum number of callers' connections; beyond it, see HttpServer. */
    size_t max_connections = 1000;
    RetryWindow::Options retries;
    /** Maximum time from BeginStop to the end of the process. */
    absl::Duration stop_within = absl::Seconds(8);
    /** Name of this instance. */
    std::string instance;
    /** Region of this instance; empty if it is unknown. */
    std::string region;
    /** Regions by data centre; upstreams elsewhere are in an unknown region. */
    std::map<std::string, std::string> regions;
    /** Memory that this process may use, in bytes, from which the bound on
        what is held for callers and upstreams is derived; 0 if it is
        unknown. */
    size_t memory_bytes = 0;
    /** Maximum time for which upstreams of an evacuated data centre still get
        requests; zero if operators do not evacuate data centres. */
    absl::Duration evacuate_within = absl::ZeroDuration();
    /** What a cold upstream may get at most in any second, from all instances
        together: this multiple of Service::cold_requests_per_second, and this
        many requests more. */
    double cold_excess = 1;
    double cold_slack = 1;
    /** Whether requests that cannot be served in time are refused as soon as
        that is known, and room is shared fairly among client accounts. */
    bool admission_control = false;
    /** Services whose upstreams keep the beginnings of prompts. */
    std::vector<std::string> prompt_keeping_services;
    /** First sequence number of this instance's requests; must differ between
        starts of the instance. Also seeds the choice of route targets. */
    uint64_t first_sequence = 1;
  };

  /** `loop`, `codec`, `log` and `source` must outlive this object. */
  Gateway(boost::asio::io_context& loop,
          Options options,
          const WireCodec& codec,
          EventLog& log,
          GatewaySource* source);
  ~Gateway() override;

  /** Opens the listeners and starts reading the source. Fails with
      kUnavailable if an address other than `metrics` cannot be bound. */
  Result<void> Start();
  /** Fails the balancer's readiness checks, finishes the requests in flight and
      then calls `done`, at the latest shortly before `stop_within` has passed.
      Further calls are ignored. */
  void BeginStop(std::function<void()> done);
  /** Logs and counts an exception that a callback of the event loop has
      thrown; see RunLoop. */
  void OnCallbackFailed(const std::exception& error);
  /** Replaces the seeds, the instances contacted to find the others. */
  void SetSeeds(const std::vector<InstanceIp>& seeds);

  uint16_t callers_port() const { return callers_.port(); }
  uint16_t ready_port() const { return ready_.port(); }
  uint16_t operators_port() const { return operators_.port(); }

  void OnConfiguration(RoutingTable::Options options) override;
  void OnUpstreams(const std::vector<UpstreamRecord>& upstreams,
                   uint64_t revision,
                   bool after_outage) override;
  void OnUpstreamChanges(const UpstreamBatch& batch) override;
  void OnEvacuations(const Evacuations& evacuations) override;
  void OnInstances(const std::vector<InstanceIp>& instances) override;
  void OnSourceConfirmed(SourcePart part, absl::Time as_of) override;
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
  void OnPeerEvacuations(InstanceIp from) override;
  void OnMissingUpstreamChange(uint64_t last_change) override;

  SnapshotPlan::Content ContentInForce() const override;
  Snapshot MakeSnapshot(absl::Time now) const override;
  void AdoptSnapshot(Snapshot snapshot, InstanceIp peer) override;

 private:
  class LoggingDelegate;
  class CallerDelegate;
  class ReadyDelegate;
  class OperatorDelegate;

  /** Returns whether a configuration and upstreams have been received and the
      gateway is not stopping. */
  bool IsReady() const;
  /** Returns the metrics in the Prometheus text format. */
  std::string Metrics();
  /** Opens the additional metrics address; a failure is logged only. */
  void ListenForMetrics();
  /** Serves snapshots to other instances; a failure is logged only. */
  void ListenForSnapshots();
  /** Puts a configuration in force if it is newer. `origin` and `age` say in
      the log where it came from, and how long ago the source had it. */
  void ApplyConfiguration(RoutingTable::Options options,
                          absl::string_view origin,
                          absl::Duration age);
  /** Tells other instances if this one has its first complete content. */
  void AnnounceFirstContent();
  /** Records that the source has delivered a part. */
  void OnSourceAnswered(SnapshotPlan::Part part);
  /** Records a list of the source in the change log. After earlier content it
      becomes a batch of changes, from which instances with content as old as
      that get what they lack. Returns false if later revisions are known. */
  bool RecordList(const std::vector<UpstreamRecord>& upstreams,
                  uint64_t revision,
                  bool after_outage);
  /** Applies changes; `origin` names where they came from in the log. */
  void ApplyUpstreams(const UpstreamBatch& batch, const char* origin);
  /** Returns whether the evacuated data centres are known, or have been awaited
      long enough: if all instances start while the source is away, none knows
      them. */
  bool HasAwaitedEvacuations(absl::Time now) const;
  /** Passes the ready upstreams to the scheduler, once the evacuated data
      centres are known. */
  void PublishUpstreams();
  /** Puts other evacuations into force; `origin` names where they came from in
      the log. */
  void ApplyEvacuations(const std::string& origin);
  /** Logs a change of the scheduling instance or of the number of live
      instances. */
  void LogMembershipChange(absl::Time now);
  /** Logs which requests and parts of prompts are refused from now on, or no
      longer. */
  void LogRefusals(absl::Time now);
  /** Performs the periodic work and schedules the next tick. */
  void Tick();
  void ScheduleTick();
  /** Reschedules the next tick for PlacementNode::kTick from now if requests
      wait for a placement. */
  void ScheduleEarlyTick();
  /** Returns the handlers of all requests that wait or run here. */
  std::vector<std::shared_ptr<RequestHandler>> RequestsInFlight() const;
  /** Ends all requests in flight because the time of the stop is over. */
  void EndRequestsForStop(absl::Time now);
  /** Ends the stop once all connections have closed or its time is over;
      otherwise calls itself again later. */
  void ContinueStop();

  Options options_;
  GatewaySource* source_;
  EventLog& log_;
  GatewayMetrics metrics_;
  MemoryBudget memory_;
  PlacementNode placement_;
  SourceWatcher source_watcher_;
  InstanceDirectory instance_directory_;
  SnapshotServer snapshot_server_;
  SnapshotFetcher snapshot_fetcher_;
  GatewayState state_;
  ConfigurationWait configuration_wait_;
  std::unique_ptr<CallerDelegate> caller_delegate_;
  std::unique_ptr<ReadyDelegate> ready_delegate_;
  std::unique_ptr<OperatorDelegate> operator_delegate_;
  HttpServer callers_;
  HttpServer ready_;
  HttpServer operators_;
  HttpServer metrics_listener_;
  DatagramSocket peers_;
  boost::asio::steady_timer tick_;
  bool is_ticking_fast_ = false;
  boost::asio::steady_timer stop_timer_;
  absl::Time next_housekeeping_ = absl::InfinitePast();
  absl::Time started_at_ = absl::InfiniteFuture();
  /** When the evacuations in force became known here. */
  absl::Time evacuations_since_ = absl::InfiniteFuture();
  bool has_upstreams_ = false;
  /** The source has not listed the upstreams since they came from a peer. */
  bool has_peer_upstreams_ = false;
  /** AnnounceFirstContent() has done so. */
  bool has_announced_content_ = false;
  /** When the source last delivered content to an instance from which this one
      has it. */
  absl::Time confirmed_at_ = absl::InfinitePast();
  /** The upstreams to be scheduled have changed since the last tick. */
  bool upstreams_changed_ = false;
  InstanceIp scheduling_instance_ = 0;
  size_t live_instances_ = 0;
  /** The refusals in force at the last tick. */
  std::vector<CrashingParts::Refusal> refusals_;
  std::function<void()> on_stopped_;
  /** Until when a stop waits for the last responses to be written. */
  absl::Time stop_flush_until_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_H_
