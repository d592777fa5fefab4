#ifndef MODULES_GATEWAY_REQUEST_TELEMETRY_H_
#define MODULES_GATEWAY_REQUEST_TELEMETRY_H_

#include <string>

#include "absl/time/time.h"
#include "modules/core/event_log.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/decisions/instance_roster.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/upstream_exchange.h"
#include "modules/routing/routing_table.h"

namespace chicory {

/** Tells the log and the metrics what becomes of one request: a line for each
    decision, with what decided it. Belongs to the event loop's thread.

    @see docs/OPERATIONS.md for how to read the lines */
class RequestTelemetry {
 public:
  RequestTelemetry(EventLog& log, GatewayMetrics& metrics)
      : log_(log), metrics_(metrics) {}

  /** A request was read; `request` is its caller's id for it. */
  void OnArrived(std::string request, absl::Time now);

  struct Admission {
    const RouteEntry& route;
    const std::string& service;
    const std::string& account;
    uint64_t configuration = 0;
    int64_t prompt_tokens = 0;
    absl::Duration time_limit;
  };
  void OnAdmitted(const Admission& admission);

  /** A scheduler chose an upstream that this instance does not know. */
  void OnUpstreamUnknown(UpstreamKey upstream);
  /** Memory was asked for at `engines`. */
  void OnMemoryAsked(size_t engines, bool held);

  struct Send {
    const std::string& upstream_id;
    const std::string& address;
    /** Addresses of helpers, comma-separated; empty for none. */
    std::string helpers;
    InstanceIp scheduler = 0;
    /** Since the scheduler was asked. */
    absl::Duration decided_after;
    /** Since the list of upstreams was last heard of. */
    absl::Duration upstreams_age;
    absl::Duration expected;
    absl::Duration time_left;
  };
  void OnSent(const Send& send, absl::Time now);
  /** The scheduler refused the request. */
  void OnRefused(const ScheduleDecision& decision,
                 InstanceIp scheduler,
                 absl::Time now);

  /** Whole events left for the caller. */
  void OnEvents(absl::Duration target_latency, absl::Time now);
  void OnSendFailed(const UpstreamExchange::Failure& failure,
                    bool again,
                    int events,
                    absl::Time now);
  /** The caller's answer ended; `status` is 0 when there was none. */
  void OnEnded(int status, const char* reason, int events, absl::Time now);

  int sends() const { return sends_; }

 private:
  EventLog& log_;
  GatewayMetrics& metrics_;
  std::string request_;
  std::string service_;
  std::string upstream_id_;
  absl::Time arrived_;
  absl::Time sent_at_;
  absl::Time last_event_ = absl::InfinitePast();
  absl::Duration longest_gap_;
  int sends_ = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_REQUEST_TELEMETRY_H_
