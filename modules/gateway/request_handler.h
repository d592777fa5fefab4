#ifndef MODULES_GATEWAY_REQUEST_HANDLER_H_
#define MODULES_GATEWAY_REQUEST_HANDLER_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/gateway/attempt.h"
#include "modules/gateway/gateway_state.h"
#include "modules/gateway/request_telemetry.h"
#include "modules/gateway/response_watchdog.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_server.h"

namespace chicory {

/** Handles one caller's request: matches it to a route and a client account,
    requests an upstream from the scheduler, forwards the request, retries it
    where that is safe, and writes the response.

    When this instance itself responds with 503 and Retry-After, the request has
    not run; a request that may have run gets another status. A broken event
    stream is resumed at another upstream, after the last complete event, if its
    route allows that.

    The HTTP server creates one handler for each request. All methods must be
    called on the event loop's thread. */
class RequestHandler : public HttpHandler,
                       public UpstreamExchange::Listener,
                       public std::enable_shared_from_this<RequestHandler> {
 public:
  /** `arrived` is when the request was received, if that was earlier than the
      call of Start(). */
  explicit RequestHandler(GatewayState* state,
                          absl::Time arrived = absl::InfiniteFuture());
  ~RequestHandler() override;

  void Start(HttpRequest request, ResponseWriter* writer) override;
  void OnCallerDisconnected() override;
  void OnBacklog(bool has_backlog) override;
  /** Called with the scheduler's decision on this request, possibly from within
      PlacementNode::Submit. */
  void OnDecision(const ScheduleDecision& decision, InstanceIp scheduler);
  /** Called when other data centres are evacuated than before. Takes back what
      is on its way to an upstream there and places it again, and refuses the
      request if it waits and no upstream is left. What runs there goes on. */
  void OnEvacuation();
  /** Called now and then while this instance shuts down. Refuses the request if
      it waits for an upstream and can no longer be served in time. */
  void OnDraining();
  /** Ends the request because this instance ends: with a response if none has
      begun, otherwise by closing the connection. */
  void EndForShutdown();

 private:
  class ReplacementListener;

  /** An upstream's error response, returned to the caller if no later attempt
      succeeds. */
  struct SavedResponse {
    HttpResponseHead head;
    std::string body;
  };

  void OnAnnouncement(const ResponseClassification& response) override;
  void OnEvents(const HttpResponseHead& head,
                const std::string& events) override;
  void OnStreamComplete(const HttpResponseHead& head) override;
  void OnCompleteResponse(const HttpResponseHead& head,
                          std::string body) override;
  void OnExchangeFailed(const UpstreamExchange::Failure& failure) override;

  /** Returns the number of tokens that the upstream is expected to generate. */
  int64_t PlannedOutputTokens() const;
  /** Returns how long the response takes to its end if it begins after
      `to_first_event`. Schedulers do not know how long a plain response takes;
      it is planned for the target latency of its route at least. */
  absl::Duration PlannedDuration(absl::Duration to_first_event) const;
  /** Ends the request, which has no attempt, since this instance ends before it
      could be served. */
  void RefuseForShutdown();
  /** Sets the route, client account and priority. Responds to the caller and
      returns false if the request cannot be served. */
  bool FindRoute();
  /** Submits the request to the scheduler, unless it crashes upstreams. */
  void RequestPlacement();
  /** Returns whether an upstream of the placement of `attempt` is in an
      evacuated data centre. */
  bool IsAtEvacuated(const Attempt& attempt) const;
  /** Ends the request and returns true if all upstreams of its service have
      announced that they accept no requests, or are in evacuated data centres.
    */
  bool RefuseWithoutOpenUpstream();
  /** Returns the upstreams that a scheduler should not choose: those of failed
      attempts, the last one first, and those that accept no requests. */
  std::vector<UpstreamKey> UpstreamsToAvoid() const;
  /** Records what a response to `attempt` says about its upstream. */
  void RecordAnnouncement(const Attempt& attempt,
                          const ResponseClassification& response);
  /** Submits the request to the scheduler under a new key, as `attempt`. */
  void SubmitToScheduler(Attempt* attempt);
  /** Returns for how long the request is refused because it crashes upstreams;
      zero if it is not. */
  absl::Duration RefusedFor() const;
  /** Ends the request and returns true if it crashes upstreams, as a whole or
      with a part of its prompt. */
  bool RefuseIfCrashing();
  /** Sends the request to `upstream`, or ends it if it was sent before and the
      retry budget is used up. */
  void SendCurrent(const UpstreamRecord& upstream,
                   const ScheduleDecision& decision);
  /** Sends the request to `upstream`, as `attempt`. */
  void SendTo(const UpstreamRecord& upstream,
              const ScheduleDecision& decision,
              Attempt* attempt);
  /** Returns a reservation of the memory that `decision` asks for at helpers,
      or null if this instance does not know them all. */
  std::shared_ptr<MemoryReservation> NewReservation(
      const ScheduleDecision& decision) const;
  /** Reserves memory at the helpers and then forwards the request. */
  void ReserveHelperMemory(const UpstreamRecord& upstream,
                           const ScheduleDecision& decision);
  /** Sends the head of a streamed response unless this was done before. */
  void BeginStream(const HttpResponseHead& head);
  /** Returns those helpers of `decision` that this instance knows. */
  std::vector<PromptHelper> ResolveHelpers(const ScheduleDecision& decision,
                                           const Attempt& attempt) const;
  /** Ends the current attempt and its replacement; see End(). */
  void EndAttempt(AttemptResult result, UpstreamKey faulty_upstream);
  /** Cancels the exchange of `attempt`, releases its memory and reports
      `result` to the scheduler. `faulty_upstream` is another upstream that
      caused the failure; 0 for none. */
  void End(Attempt* attempt, AttemptResult result, UpstreamKey faulty_upstream);
  /** Reports the end of `attempt` to the scheduler, once. */
  void ReportEnd(Attempt* attempt,
                 AttemptResult result,
                 UpstreamKey faulty_upstream);
  /** Takes note of what the failure of `attempt` says about the request and its
      upstream. */
  void RecordFailure(const Attempt& attempt,
                     const UpstreamExchange::Failure& failure);
  /** Returns the upstream to which the request is not sent again. */
  static UpstreamKey UpstreamAtFault(const Attempt& attempt,
                                     const UpstreamExchange::Failure& failure);
  /** Returns whether the request may be retried after `failure`; if so, has
      reserved a retry unless nothing was sent. */
  bool CanRetry(const UpstreamExchange::Failure& failure);
  /** Reserves a retry, if the budget allows one. */
  bool ReserveRetry();
  void ReleaseRetry();
  /** Called before the request is sent as `attempt`. Charges the retry budget
     if it has been sent before; returns false if the budget does not allow it.
   */
  bool ChargeRetry(Attempt* attempt);
  /** Requests another upstream, or responds with `reason` once kMaxDecisions
      decisions have been received. */
  void RequestNewPlacement(const char* reason);
  /** Ends the request without a successful response from an upstream: aborts a
      stream that has started, otherwise sends the saved error response or one
      generated here. `retry_after` is used only if the request has not run. */
  void RespondUnavailable(const char* reason,
                          absl::Duration retry_after = kDefaultRetryAfter);
  /** Sends a response without a body that this instance generates itself. */
  void RespondLocally(int status,
                      absl::Duration retry_after,
                      const char* reason);
  /** Marks the request as finished and logs its end. */
  void Finish(int status, const char* reason);
  /** Starts the timer for an overdue response. `expected` is the time in which
      the scheduler expects the first event. */
  void ArmWatchdog(absl::Duration expected, absl::Time now);
  /** Returns how long a silent stream may be before its caller abandons it;
      infinite for a response that is no stream. */
  absl::Duration AbandonTime() const;
  /** Returns how long an upstream may be silent before the response counts as
      overdue; infinite if it never does. */
  absl::Duration SilenceLimit() const;
  /** Requests another upstream if a retry is allowed. The silent attempt goes
      on until there is one. */
  void OnResponseOverdue();
  /** Called with the decision that OnResponseOverdue() requested. Sends the
      request to the other upstream as well, after memory has been reserved
      where it has to be. The first of the two to send an event, or a complete
      response, is used, and the other cancelled. */
  void OnReplacement(const ScheduleDecision& decision, InstanceIp scheduler);
  /** Returns whether the request may be sent to the upstream that `decision`
      names, in place of the one that is silent. */
  bool CanReplace(const ScheduleDecision& decision) const;
  void SendReplacement(const ScheduleDecision& decision);
  /** Called when the replacement responds: ends the silent attempt. */
  void UseReplacement();
  /** Ends the current attempt because of `failure` and makes the replacement
      the current one. */
  void ContinueWithReplacement(const UpstreamExchange::Failure& failure);
  void OnReplacementFailed(const UpstreamExchange::Failure& failure);
  /** Gives up the replacement and waits for the silent upstream again. */
  void KeepSilentAttempt();
  void CancelReplacement();
  /** Records the limit that the response of `attempt` names, if any. */
  void RecordRequestLimit(const Attempt& attempt,
                          const ResponseClassification& response,
                          absl::Time now);
  /** Ends the current attempt and requests another upstream. */
  void Retry(const UpstreamExchange::Failure& failure);
  /** Ends the request at its deadline. */
  void OnTimeout();
  void ArmTimeout();
  absl::Duration TimeLeft() const;

  static constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(500);

  GatewayState* state_;
  RequestTelemetry telemetry_;
  ResponseWriter* writer_ = nullptr;
  HttpRequest request_;
  CallerRequest caller_;
  /** Owns `route_`; a newer configuration does not affect this request. */
  std::shared_ptr<const RoutingTable> table_;
  const RouteEntry* route_ = nullptr;
  std::string account_;
  std::string service_;
  int priority_ = 0;
  /** What may be the cause if an upstream ends that runs the request. */
  CrashSuspects suspects_;
  absl::Time arrived_;
  absl::Time deadline_;
  boost::asio::steady_timer timeout_;
  std::unique_ptr<ResponseWatchdog> watchdog_;

  Attempt current_;
  /** A second attempt while the current one is silent; empty otherwise. */
  Attempt replacement_;
  std::unique_ptr<ReplacementListener> replacement_listener_;
  /** The instance that made the last decision. */
  InstanceIp scheduler_ = 0;
  absl::Time placement_requested_at_;
  /** Kept over all attempts, so that a stream can be resumed. */
  EventStreamSplitter events_;
  /** The same as seen by the replacement. */
  EventStreamSplitter replacement_events_;
  int decisions_ = 0;
  /** Attempts that ended before a byte of the request was sent. */
  int unsent_attempts_ = 0;
  /** A retry is reserved that has not been sent. */
  bool has_reserved_retry_ = false;
  bool may_have_run_ = false;
  /** The caller has fallen behind; the upstream is not read. */
  bool has_backlog_ = false;
  bool stream_started_ = false;
  bool finished_ = false;
  std::vector<UpstreamKey> avoided_upstreams_;
  std::optional<SavedResponse> saved_response_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_REQUEST_HANDLER_H_
