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

/** Counters and latency histograms of a gateway, for its metrics address.

    Times are in seconds, as the names say. Labels are bounded: at most
    kMaxServices services are told apart, the rest counts as `other`. Belongs to
    the event loop's thread. */
class GatewayMetrics {
 public:
  static constexpr size_t kMaxServices = 64;

  GatewayMetrics();

  /** A request ended towards its caller; status 0 when it got no answer. */
  void OnRequestEnded(const std::string& service,
                      int status,
                      absl::string_view reason,
                      absl::Duration took);
  /** A request was sent `waited` after it came or after its last send. */
  void OnSent(const std::string& service, absl::Duration waited);
  void OnSendFailed(const std::string& service, absl::string_view reason);
  /** The first event of a stream left for the caller. */
  void OnFirstEvent(const std::string& service, absl::Duration after_arrival);
  /** A complete stream with its longest pause between two events. */
  void OnStreamComplete(const std::string& service, absl::Duration longest_gap);

  /** What is true at the moment of asking. */
  struct Levels {
    size_t in_flight = 0;
    size_t live_instances = 0;
    size_t scheduler_waiting = 0;
    size_t scheduler_running = 0;
    uint64_t configuration_version = 0;
    size_t upstreams = 0;
    int64_t log_lines_dropped = 0;
  };
  /** All metrics in the text exposition format. */
  std::string Exposition(const Levels& levels);

 private:
  struct ServiceMetrics {
    prometheus::Histogram* duration = nullptr;
    prometheus::Histogram* waited = nullptr;
    prometheus::Histogram* first_event = nullptr;
    prometheus::Histogram* longest_gap = nullptr;
  };

  const std::string& LabelOf(const std::string& service) const;
  ServiceMetrics& Of(const std::string& service);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& failed_sends_;
  prometheus::Family<prometheus::Histogram>& durations_;
  prometheus::Family<prometheus::Histogram>& waits_;
  prometheus::Family<prometheus::Histogram>& first_events_;
  prometheus::Family<prometheus::Histogram>& gaps_;
  absl::flat_hash_map<std::string, ServiceMetrics> services_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_METRICS_H_
