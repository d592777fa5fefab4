#ifndef MODULES_GATEWAY_UPSTREAM_EXCHANGE_H_
#define MODULES_GATEWAY_UPSTREAM_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "modules/core/memory_budget.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/gateway/upstream_pool.h"
#include "modules/gateway/wire_codec.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_client_connection.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {

/** One attempt of a request at an upstream, and the response to it.

    Verifies that the response belongs to the request, splits a stream into
    complete events, and returns a reusable connection to the pool. Ends with
    exactly one of OnStreamComplete, OnCompleteResponse and OnExchangeFailed, or
    with Cancel. Must be owned by a shared_ptr and used on the event loop's
    thread. */
class UpstreamExchange : public HttpClientConnection::Listener,
                         public MemoryBudget::Holder,
                         public std::enable_shared_from_this<UpstreamExchange> {
 public:
  /** Why an attempt ended without a response for the caller. */
  struct Failure {
    /** Value of the log key `reason` and of the metric label. */
    const char* reason;
    /** Set if it is certain that the upstream did not run the request. */
    bool not_run = false;
    /** Set if no byte of the request was sent, because no connection came
        about. */
    bool not_sent = false;
    /** Set if the connection broke, and had carried requests before. */
    bool kept_connection = false;
    /** Set if this process ended the attempt for lack of memory. A retry would
        need the same memory. */
    bool is_local = false;
    AttemptResult result = AttemptResult::kFault;
    /** Another upstream that caused the failure; 0 for none. */
    UpstreamKey faulty_upstream = 0;
  };

  /** What was received of a response's body when its attempt ended. */
  struct BodyEnd {
    BodyFraming framing = BodyFraming::kUnknown;
    /** The body's length in bytes by its head; nullopt if the head has none. */
    std::optional<uint64_t> announced_bytes;
    /** Bytes of a stream after its last complete event. */
    size_t partial_event_bytes = 0;
  };

  /** Receives the response. Callbacks may cancel or release the exchange. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Called, before anything else, with what the response to this request
        says about the upstream itself. */
    virtual void OnAnnouncement(const ResponseClassification& response) = 0;
    /** Called with complete events of a stream; `head` is the head of its
        response. */
    virtual void OnEvents(const HttpResponseHead& head,
                          const std::string& events) = 0;
    /** Called after the last event of a stream that was received in full: one
        whose end was marked, or that ended with its connection, after an
        event. */
    virtual void OnStreamComplete(const HttpResponseHead& head) = 0;
    /** Called with a complete response that is not a stream, of any status.
        An upstream's refusal is a failure instead, unless its status is 400. */
    virtual void OnCompleteResponse(const HttpResponseHead& head,
                                    std::string body) = 0;
    /** Called when the attempt ended without a response for the caller. */
    virtual void OnExchangeFailed(const Failure& failure) = 0;
  };

  struct Options {
    UpstreamKey upstream = 0;
    Endpoint address;
    /** The request id that the response must carry. */
    std::string request_id;
    /** The request may run twice, so that an idle connection may be reused. */
    bool is_retryable = false;
    /** A successful response is an event stream. */
    bool expects_stream = false;
    /** The exchange continues a stream of which the caller has a part. */
    bool resumes_stream = false;
    /** The request is a HEAD request, whose response has no body. */
    bool head_only = false;
  };

  /** Objects shared by all exchanges of an instance. */
  struct Shared {
    const WireCodec& codec;
    UpstreamPool& pool;
    const UpstreamDirectory& directory;
    /** For incomplete responses; may be null. */
    MemoryBudget* memory = nullptr;
  };

  /** `events` keeps the state of the stream over several exchanges and must
      outlive this object. */
  UpstreamExchange(Options options,
                   Shared shared,
                   EventStreamSplitter* events,
                   Listener* listener);
  ~UpstreamExchange() override;

  /** Sends `request`, which holds the head and the body. */
  void Send(std::string request);
  /** Closes the connection; no callback follows. */
  void Cancel();
  /** Fails the exchange with `reason`, from within this function, if nothing
     was sent because the connection is not yet established. */
  void WithdrawUnsent(const char* reason);
  /** Stops reading the response while `is_paused`. */
  void PauseReading(bool is_paused);
  /** Makes `listener` receive all further callbacks and `events`, a copy of the
      former splitter, keep the state of the stream. May be called from within a
      callback. */
  void HandOver(EventStreamSplitter* events, Listener* listener);

  /** Whether the head was received and accepted. */
  bool has_head() const { return has_head_; }
  const BodyEnd& body_end() const { return body_end_; }

  void OnEvicted(const MemoryBudget::Eviction& eviction) override;

 private:
  void OnResponse(HttpResponseParser& parser) override;
  void OnFailure(HttpClientConnection::Failure failure) override;

  /** Returns whether the response belongs to the request that was sent. */
  bool IsOwnResponse(const ResponseClassification& classification) const;
  /** Checks the response's head; returns false if it ended the exchange. */
  bool CheckHead(const HttpResponseHead& head);
  void ProcessStream(HttpResponseParser& parser);
  /** Returns whether a stream that has ended broke off before its last event
      was complete. */
  bool IsTruncated() const;
  void ProcessCompleteBody(HttpResponseParser& parser);
  /** Tells the budget what the incomplete response takes. */
  void UpdateReservation(size_t held_bytes);
  void ReleaseConnection();
  void Fail(const Failure& failure);

  const Options options_;
  const Shared shared_;
  EventStreamSplitter* events_;
  Listener* listener_;
  std::shared_ptr<HttpClientConnection> connection_;
  absl::Time sent_at_;
  absl::Duration keep_alive_;
  BodyEnd body_end_;
  bool has_response_bytes_ = false;
  bool has_head_ = false;
  bool is_stream_ = false;
  /** A complete event was received. */
  bool has_events_ = false;
  std::string body_;
  uint64_t received_bytes_ = 0;
  MemoryBudget::Reservation reservation_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_UPSTREAM_EXCHANGE_H_
