#ifndef MODULES_SERVING_CALLER_API_H_
#define MODULES_SERVING_CALLER_API_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "modules/config/configuration.h"
#include "modules/serving/account_rate_limiter.h"
#include "modules/serving/at_most_once_runner.h"
#include "modules/serving/caller_error.h"
#include "modules/serving/configuration_watcher.h"
#include "modules/serving/request_broker.h"
#include "modules/serving/token_estimator.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace chicory {

/** The HTTP API for callers: chat completions in the form that common client
    libraries use, and plain services, which are selected by path.

    Each request is authenticated, charged to its client account and passed to
    the RequestBroker, which decides on its attempts; this class executes them.
    Handlers run on the server's threads and block until their request has
    ended.
    @see HttpApiServer */
class CallerApi {
 public:
  /** The objects that the handlers use. All pointers must outlive this object.
   */
  struct Dependencies {
    /** Name of this instance; prefix of every request id. */
    std::string instance;
    ConfigurationWatcher* configuration_watcher = nullptr;
    AccountRateLimiter* rate_limiter = nullptr;
    RequestBroker* broker = nullptr;
    UpstreamClient* client = nullptr;
    AtMostOnceRunner* at_most_once = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
  };

  explicit CallerApi(const Dependencies& dependencies)
      : dependencies_(dependencies) {}

  /** Adds the handlers to `server`, which must not have been started. */
  void AddRoutes(httplib::Server* server);

  /** Refuses new requests as not run from now on. Thread-safe. */
  void RefuseNewRequests() { is_stopping_ = true; }

 private:
  /** What is known of a request before its body is parsed. */
  struct RequestContext {
    /** The configuration in force when the request arrived. */
    ConfigurationWatcher::Snapshot snapshot;
    /** Belongs to `snapshot`; null if the caller is not authenticated. */
    const ClientAccount* account = nullptr;
    /** Sent to the caller and written to the log. */
    std::string request_id;
  };

  struct Generation;

  /** Authenticates the caller. If the request cannot be served, sets an error
      response and returns nothing. */
  std::optional<RequestContext> IdentifyCaller(const httplib::Request& request,
                                               httplib::Response* response);
  void HandleModels(const httplib::Request& request,
                    httplib::Response* response);
  void HandleChat(const httplib::Request& request, httplib::Response* response);
  void HandleService(const httplib::Request& request,
                     httplib::Response* response);
  /** Handles a call to a service whose calls must not be repeated. The
      idempotency key of the caller is required. */
  void RunAtMostOnce(const RequestContext& context,
                     const httplib::Request& request,
                     RequestSpec spec,
                     httplib::Response* response);
  /** Runs one attempt of a chat completion and passes its tokens on to the
      caller. */
  AttemptEnd RunAttempt(Generation* generation,
                        const AttemptSpec& attempt_spec,
                        Interrupt* interrupt);
  /** Reserves memory on the helpers of a group, which are all its members but
      the lead engine, and waits until they have prefilled their parts of the
      prompt. On failure returns false and sets `end`. */
  bool PrepareGroup(const Generation& generation,
                    const AttemptSpec& attempt_spec,
                    Interrupt* interrupt,
                    AttemptEnd* end);
  /** Calls a plain service, with the broker's retries. Without a `connection`,
      the call continues if the caller disconnects. */
  RequestEnd CallService(const httplib::Request& request,
                         const RequestSpec& spec,
                         const std::optional<CallerConnection>& connection,
                         const std::string& attempt,
                         ServiceResponse* result);
  /** Records the refusal and sets the error response. */
  void Refuse(const RequestContext& context,
              const CallerError& error,
              httplib::Response* response);

  const Dependencies dependencies_;
  TokenEstimator estimator_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<uint64_t> next_request_number_{1};
};

}  // namespace chicory

#endif  // MODULES_SERVING_CALLER_API_H_
