#ifndef MODULES_GATEWAY_REQUEST_HANDLER_H_
#define MODULES_GATEWAY_REQUEST_HANDLER_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/gateway/gateway_state.h"
#include "modules/gateway/memory_reservation.h"
#include "modules/gateway/request_telemetry.h"
#include "modules/gateway/response_watchdog.h"
#include "modules/gateway/upstream_exchange.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_server.h"

namespace chicory {

/** The way of one request: its route and client account, its upstream, the
    sends to it, and the answer. Belongs to the event loop's thread.

    A request that has not run is told so (503 with Retry-After); one that may
    have run is never called not run. A stream that breaks goes on at another
    upstream where its route allows, after the last whole event. */
class RequestHandler : public HttpHandler,
                       public UpstreamExchange::Listener,
                       public std::enable_shared_from_this<RequestHandler> {
 public:
  explicit RequestHandler(GatewayState* state);
  ~RequestHandler() override;

  void Start(HttpRequest request, ResponseWriter* sink) override;
  void OnCallerDisconnected() override;
  /** The scheduler decided about this request. */
  void OnDecision(const ScheduleDecision& decision, InstanceIp scheduler);

 private:
  /** An upstream's answer that is kept in case no later send does better. */
  struct SavedAnswer {
    HttpResponseHead head;
    std::string body;
  };

  void OnEvents(const HttpResponseHead& head,
                const std::string& events) override;
  void OnStreamComplete(const HttpResponseHead& head) override;
  void OnAnswer(const HttpResponseHead& head, std::string body) override;
  void OnExchangeFailed(const UpstreamExchange::Failure& failure) override;

  bool FindRoute();
  void AskForUpstream();
  void SendTo(const UpstreamRecord& upstream, const ScheduleDecision& decision);
  /** Sets memory aside at helpers first, then sends. */
  void HoldMemory(const UpstreamRecord& upstream,
                  const ScheduleDecision& decision);
  void BeginStream(const HttpResponseHead& head);
  std::vector<PromptHelper> Helpers(const ScheduleDecision& decision) const;
  void EndSend(AttemptResult result, UpstreamKey faulty_upstream);
  bool MaySendAgain(const UpstreamExchange::Failure& failure);
  /** Asks for another upstream unless that was done too often. */
  void AskAgain(const char* reason);
  /** Answers for want of an upstream; `retry_after` tells when one may serve.
   */
  void AnswerWithoutUpstream(const char* reason,
                             absl::Duration retry_after = kRefusedRetry);
  void AnswerOwn(int status, absl::Duration retry_after, const char* reason);
  void Finish(int status, const char* reason);
  /** Begins to watch for a response that takes too long. */
  void ArmWatchdog(absl::Time now);
  /** Sends the request elsewhere if it may be, and waits on otherwise. */
  void OnResponseOverdue();
  /** Gives the send up and asks for another upstream. */
  void SendAgain(const UpstreamExchange::Failure& failure);
  void OnTimeout();
  void ArmTimeout();
  absl::Duration TimeLeft() const;

  static constexpr absl::Duration kRefusedRetry = absl::Milliseconds(500);

  GatewayState* state_;
  RequestTelemetry telemetry_;
  ResponseWriter* sink_ = nullptr;
  HttpRequest request_;
  CallerRequest caller_;
  /** Keeps `route_` alive. */
  std::shared_ptr<const RoutingTable> table_;
  const RouteEntry* route_ = nullptr;
  std::string account_;
  std::string service_;
  int priority_ = 0;
  /** Of what tells the same request sent again; 0 when nothing does. */
  uint64_t fingerprint_ = 0;
  absl::Time arrived_;
  absl::Time deadline_;
  boost::asio::steady_timer timeout_;
  std::unique_ptr<ResponseWatchdog> watchdog_;

  std::optional<WorkKey> work_;
  std::shared_ptr<MemoryReservation> memory_;
  std::shared_ptr<UpstreamExchange> exchange_;
  UpstreamKey upstream_ = 0;
  /** Who decided, and since when it was asked. */
  InstanceIp scheduler_ = 0;
  absl::Time asked_at_;
  EventStreamSplitter events_;
  int decisions_ = 0;
  bool may_have_run_ = false;
  bool stream_begun_ = false;
  bool first_part_told_ = false;
  bool finished_ = false;
  std::vector<UpstreamKey> avoid_;
  std::optional<SavedAnswer> saved_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_REQUEST_HANDLER_H_
