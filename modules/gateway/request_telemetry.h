#ifndef MODULES_GATEWAY_REQUEST_TELEMETRY_H_
#define MODULES_GATEWAY_REQUEST_TELEMETRY_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/event_log.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/decisions/instance_roster.h"
#include "modules/decisions/retry_window.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/upstream_exchange.h"
#include "modules/routing/routing_table.h"

namespace chicory {

/** Returns the ids of `parts` in hexadecimal, comma-separated; "none" if there
    are none. */
std::string JoinParts(const std::vector<PromptPart>& parts);

/** Logs the steps of one request and updates the metrics. Each decision is one
    log line with the values it was based on. All methods must be called on the
    event loop's thread.

    @see docs/OPERATIONS.md for the format of the log lines */
class RequestTelemetry {
 public:
  RequestTelemetry(EventLog& log, GatewayMetrics& metrics)
      : log_(log), metrics_(metrics) {}

  /** Called when a request has been read; `request` is the caller's id. */
  void OnArrived(std::string request, absl::Time now);

  /** Properties of a request that was matched to a route. */
  struct Admission {
    const RouteEntry& route;
    const std::string& service;
    const std::string& account;
    uint64_t configuration = 0;
    int64_t prompt_tokens = 0;
    const std::vector<PromptPart>& shared_parts;
    /** Equal for repeats of the same request; 0 if there is none. */
    uint64_t fingerprint = 0;
    size_t body_bytes = 0;
    absl::Duration time_limit;
  };
  void OnAdmitted(const Admission& admission);

  /** Called when a scheduler chose an upstream that this instance does not know
      or that is draining. */
  void OnUpstreamUnknown(UpstreamKey upstream);
  /** Called when the request is taken back because a data centre was evacuated:
      `what` was on its way there, or waited for an upstream in vain. */
  void OnTakenBack(const char* what, absl::Time now);
  /** Called with the result of a reservation of memory at `engines` engines. */
  void OnMemoryReservation(size_t engines, bool granted);

  /** One attempt at an upstream and the decision that led to it. */
  struct Attempt {
    const std::string& upstream_id;
    const std::string& address;
    /** Addresses of helpers, comma-separated; empty for none. */
    std::string helpers;
    InstanceIp scheduler = 0;
    /** Time since the placement was requested. */
    absl::Duration decided_after;
    /** Time since the list of upstreams was last updated. */
    absl::Duration upstreams_age;
    /** The scheduler's estimate of the time to the first event. */
    absl::Duration expected;
    absl::Duration time_left;
  };
  /** What later lines say of an attempt; two may run at the same time. */
  struct SentAttempt {
    /** Counted from 1. */
    int number = 0;
    std::string upstream_id;
    absl::Time sent_at;
  };
  SentAttempt OnAttemptStarted(const Attempt& attempt, absl::Time now);
  /** Called when the upstream of `attempt` has said in its response that it is
      leaving, that it wants no requests for `rest`, or something that should
     say so but cannot be read. */
  void OnUpstreamLeaving(const SentAttempt& attempt);
  void OnUpstreamRests(const SentAttempt& attempt, absl::Duration rest);
  void OnUnusableRest(const SentAttempt& attempt, absl::string_view text);
  /** Called when the limit that the upstream of `attempt` names has changed, or
      when its response holds something that cannot be read as a limit. */
  void OnUpstreamLimit(const SentAttempt& attempt,
                       std::optional<double> per_second);
  void OnUnusableLimit(const SentAttempt& attempt, absl::string_view text);
  /** Called when the scheduler refused the request. */
  void OnRefused(const ScheduleDecision& decision,
                 InstanceIp scheduler,
                 absl::Time now);

  /** Called when complete events were received for the caller.
      `target_latency` is the route's, which is logged with the first event. */
  void OnEvents(const SentAttempt& attempt,
                absl::Duration target_latency,
                absl::Time now);
  /** Called at the end of each attempt, before OnAttemptFailed and OnEnded. */
  void OnBodyEnded(const UpstreamExchange::BodyEnd& end) { body_end_ = end; }
  /** Called when the retry budget has allowed or refused a retry. `instances`
      is the number of instances that the slack was divided by. */
  void OnRetryDecided(bool granted,
                      const RetryWindow::Budget& budget,
                      RetryWindow::InstanceCount instances);
  /** Called when an attempt has failed; `events` counts the events that the
      caller has received so far. */
  void OnAttemptFailed(const SentAttempt& attempt,
                       const UpstreamExchange::Failure& failure,
                       bool will_retry,
                       int events,
                       absl::Time now);
  /** Called once at the end of the request; `status` is 0 if the caller
      received no complete response. */
  void OnEnded(int status, const char* reason, int events, absl::Time now);

  int attempts() const { return attempts_; }

 private:
  void LogUnusable(const char* event,
                   const SentAttempt& attempt,
                   absl::string_view text);

  EventLog& log_;
  GatewayMetrics& metrics_;
  std::string request_;
  std::string service_;
  absl::Time arrived_;
  absl::Time last_event_ = absl::InfinitePast();
  absl::Duration longest_gap_;
  /** Of the last attempt that has ended. */
  UpstreamExchange::BodyEnd body_end_;
  int attempts_ = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_REQUEST_TELEMETRY_H_
