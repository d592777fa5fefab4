#ifndef MODULES_GATEWAY_UPSTREAM_EXCHANGE_H_
#define MODULES_GATEWAY_UPSTREAM_EXCHANGE_H_

#include <memory>
#include <string>

#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/gateway/upstream_pool.h"
#include "modules/gateway/wire_codec.h"
#include "modules/net/event_stream.h"
#include "modules/net/http_client_connection.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {

/** One send of a request to an upstream, and what comes back.

    It checks that the response is the request's own, cuts a stream into whole
    events, and gives a connection that is still of use back to the pool. Ends
    with exactly one of OnStreamComplete, OnAnswer and OnExchangeFailed, or with
    Cancel. Belongs to the event loop's thread. */
class UpstreamExchange : public HttpClientConnection::Listener,
                         public std::enable_shared_from_this<UpstreamExchange> {
 public:
  /** Why a send ended without an answer for the caller. */
  struct Failure {
    const char* reason;
    /** The upstream surely did not run the request. */
    bool not_run = false;
    AttemptResult result = AttemptResult::kFault;
    /** Another upstream that is to blame; 0 for none. */
    UpstreamKey faulty_upstream = 0;
  };

  /** Hears of the response. May cancel or drop the exchange. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Whole events of a stream whose response began with `head`. */
    virtual void OnEvents(const HttpResponseHead& head,
                          const std::string& events) = 0;
    virtual void OnStreamComplete(const HttpResponseHead& head) = 0;
    /** A whole response that is no stream, with any status. */
    virtual void OnAnswer(const HttpResponseHead& head, std::string body) = 0;
    virtual void OnExchangeFailed(const Failure& failure) = 0;
  };

  struct Options {
    UpstreamKey upstream = 0;
    Endpoint address;
    /** Id of the request that the response must bear. */
    std::string request_id;
    /** A second run does no harm, so that a kept connection may be used. */
    bool may_run_again = false;
    /** A successful response is an event stream. */
    bool expects_stream = false;
    /** It goes on with a stream of which the caller has a part. */
    bool resumes = false;
    /** The response has no body. */
    bool head_only = false;
  };

  /** What all exchanges of an instance share. */
  struct Shared {
    const WireCodec& codec;
    UpstreamPool& pool;
    const UpstreamDirectory& directory;
  };

  /** `events` keeps what is known of the stream over several exchanges. */
  UpstreamExchange(Options options,
                   Shared shared,
                   EventStreamSplitter* events,
                   Listener* listener);
  ~UpstreamExchange() override;

  /** Sends the request, head and body. */
  void Send(std::string request);
  /** Ends it at once; nothing more is heard. */
  void Cancel();

  /** The head has come and was found to be the request's own. */
  bool has_head() const { return has_head_; }

 private:
  void OnResponse(HttpResponseParser& parser) override;
  void OnFailure(HttpClientConnection::Failure failure) override;

  /** False when the head ended the exchange. */
  bool JudgeHead(const HttpResponseHead& head);
  void TakeStream(HttpResponseParser& parser);
  void TakeWhole(HttpResponseParser& parser);
  void ReleaseConnection();
  void Fail(const Failure& failure);

  const Options options_;
  const Shared shared_;
  EventStreamSplitter* events_;
  Listener* listener_;
  std::shared_ptr<HttpClientConnection> connection_;
  absl::Time sent_at_;
  absl::Duration keep_alive_;
  bool has_head_ = false;
  bool is_stream_ = false;
  std::string body_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_UPSTREAM_EXCHANGE_H_
