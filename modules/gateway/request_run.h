#ifndef MODULES_GATEWAY_REQUEST_RUN_H_
#define MODULES_GATEWAY_REQUEST_RUN_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/gateway/gateway_state.h"
#include "modules/gateway/memory_hold.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_client_connection.h"
#include "modules/net/http_server.h"

namespace chicory {

/** The way of one request: its route and client account, its upstream, the
    sends to it, and the answer. Belongs to the event loop's thread.

    A request that has not run is told so (503 with Retry-After); one that may
    have run is never called not run. A stream that breaks goes on at another
    upstream where its route allows, after the last whole event. */
class RequestRun : public HttpHandler,
                   public HttpClientConnection::Listener,
                   public std::enable_shared_from_this<RequestRun> {
 public:
  explicit RequestRun(GatewayState* state);
  ~RequestRun() override;

  void Start(HttpRequest request, AnswerSink* sink) override;
  void OnCallerLeft() override;
  /** The scheduler decided about this request. */
  void OnDecision(const ScheduleDecision& decision);

 private:
  /** An upstream's answer that is kept in case no later send does better. */
  struct SavedAnswer {
    HttpResponseHead head;
    std::string body;
  };
  /** Why a send ended without the caller's answer. */
  struct SendFailure {
    const char* reason;
    /** The upstream surely did not run the request. */
    bool not_run = false;
    SendResult result = SendResult::kFault;
    UpstreamKey fault_at = 0;
    /** The upstream may have died of the request. */
    bool is_crash = false;
  };

  void OnResponse(HttpResponseParser& parser) override;
  void OnFailure(HttpClientConnection::Failure failure) override;

  bool FindRoute();
  void AskForUpstream();
  void SendTo(const UpstreamRecord& upstream, const ScheduleDecision& decision);
  /** Sets memory aside at helpers first, then sends. */
  void HoldMemory(const UpstreamRecord& upstream,
                  const ScheduleDecision& decision);
  std::vector<PromptHelper> Helpers(const ScheduleDecision& decision) const;
  /** False when the response ended the send. */
  bool JudgeHead(const HttpResponseHead& head);
  void RelayStream(HttpResponseParser& parser);
  void RelayWhole(HttpResponseParser& parser);
  void EndSend(SendResult result, UpstreamKey fault_at);
  void DropConnection();
  void ReleaseConnection();
  void OnSendFailed(const SendFailure& failure);
  bool MaySendAgain(const SendFailure& failure);
  void AnswerWithoutUpstream(const char* reason);
  void AnswerOwn(int status, absl::Duration retry_after, const char* reason);
  void Finish(int status, const char* reason);
  void OnTimeout();
  void ArmTimeout();
  absl::Duration TimeLeft() const;

  GatewayState* state_;
  AnswerSink* sink_ = nullptr;
  HttpRequest request_;
  CallerRequest caller_;
  /** Keeps `route_` alive. */
  std::shared_ptr<const RoutingTable> table_;
  const Route* route_ = nullptr;
  std::string account_;
  std::string service_;
  int priority_ = 0;
  uint64_t fingerprint_ = 0;
  absl::Time arrived_;
  absl::Time deadline_;
  boost::asio::steady_timer timeout_;

  std::optional<WorkKey> work_;
  std::shared_ptr<MemoryHold> memory_;
  std::shared_ptr<HttpClientConnection> connection_;
  UpstreamKey upstream_ = 0;
  std::string upstream_id_;
  absl::Time sent_at_;
  absl::Duration keep_alive_;
  /** The upstream's head was judged and is relayed. */
  bool head_judged_ = false;
  bool is_stream_ = false;
  std::string whole_body_;
  EventStreamSplitter events_;
  absl::Time last_event_;
  absl::Duration longest_gap_;
  int sends_ = 0;
  int decisions_ = 0;
  bool may_have_run_ = false;
  bool stream_begun_ = false;
  bool first_part_told_ = false;
  bool finished_ = false;
  std::vector<UpstreamKey> avoid_;
  std::optional<SavedAnswer> saved_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_REQUEST_RUN_H_
