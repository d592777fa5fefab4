#ifndef MODULES_GATEWAY_GATEWAY_METRICS_H_
#define MODULES_GATEWAY_GATEWAY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace chicory {

/** Counters and latency histograms of a gateway, exported to Prometheus.

    Times are exported in seconds. The number of label values is bounded: after
    the first kMaxServices services, further ones share the label `other`. All
    methods must be called on the event loop's thread. */
class GatewayMetrics {
 public:
  static constexpr size_t kMaxServices = 64;

  GatewayMetrics();

  /** Counts a finished request and its total duration. `status` is 0 if the
      caller received no complete response. */
  void OnRequestEnded(const std::string& service,
                      int status,
                      absl::string_view reason,
                      absl::Duration took);
  /** Records an attempt that started `waited` after the request's arrival. */
  void OnAttemptStarted(const std::string& service, absl::Duration waited);
  /** Counts an attempt that failed for `reason`, a label value. */
  void OnAttemptFailed(const std::string& service, absl::string_view reason);
  /** Counts a retry that the retry budget has allowed or refused. */
  void OnRetryDecided(const std::string& service, bool granted);
  /** Records the first event of a stream passed to the caller. */
  void OnFirstEvent(const std::string& service, absl::Duration after_arrival);
  /** Records the longest pause between two events of a complete stream. */
  void OnStreamComplete(const std::string& service, absl::Duration longest_gap);

  /** Counts what an upstream has announced in a response: `what` is a label
      value. */
  void OnAnnouncement(const std::string& service, absl::string_view what);
  /** Counts a transfer of a snapshot; `outcome` is a label value. */
  void OnSnapshot(absl::string_view outcome);
  /** Counts a callback of the event loop that has thrown. */
  void OnCallbackFailed() { callback_failures_.Increment(); }

  /** Counts a caller's connection that had to close for the sake of others;
      `state` is a label value. */
  void OnCallerClosed(absl::string_view state);

  /** Values of the gauges, sampled for each exposition. */
  struct Levels {
    size_t in_flight = 0;
    size_t live_instances = 0;
    size_t scheduler_waiting = 0;
    size_t scheduler_running = 0;
    uint64_t configuration_version = 0;
    absl::Duration source_age;
    size_t upstreams = 0;
    size_t refused_parts = 0;
    size_t refused_requests = 0;
    size_t limited_upstreams = 0;
    size_t cold_upstreams = 0;
    int64_t cold_held_back = 0;
    size_t evacuated_data_centres = 0;
    size_t held_bytes = 0;
    size_t max_held_bytes = 0;
    int64_t log_lines_dropped = 0;
  };
  /** Returns all metrics in the Prometheus text format. */
  std::string Exposition(const Levels& levels);

 private:
  struct ServiceMetrics {
    prometheus::Histogram* duration = nullptr;
    prometheus::Histogram* waited = nullptr;
    prometheus::Histogram* first_event = nullptr;
    prometheus::Histogram* longest_gap = nullptr;
  };

  /** Returns the value of the label `service`: `none` for an empty name. */
  const std::string& ServiceLabel(const std::string& service) const;
  /** Returns the service's histograms, which are created on first use. */
  ServiceMetrics& MetricsFor(const std::string& service);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& failed_attempts_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& announcements_;
  prometheus::Family<prometheus::Counter>& snapshots_;
  prometheus::Counter& callback_failures_;
  prometheus::Family<prometheus::Counter>& closed_callers_;
  prometheus::Family<prometheus::Histogram>& durations_;
  prometheus::Family<prometheus::Histogram>& waits_;
  prometheus::Family<prometheus::Histogram>& first_events_;
  prometheus::Family<prometheus::Histogram>& gaps_;
  absl::flat_hash_map<std::string, ServiceMetrics> services_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_METRICS_H_
