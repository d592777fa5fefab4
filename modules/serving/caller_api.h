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

/** What callers reach: the chat interface that assistants' client libraries
    speak, and plain services by route. Handlers run on the server's threads.
    @see HttpApiServer */
class CallerApi {
 public:
  /** All must outlive this object. */
  struct Parts {
    /** Name of this instance; part of every request's name. */
    std::string instance;
    ConfigurationWatcher* configuration_watcher = nullptr;
    AccountRateLimiter* rate_limiter = nullptr;
    RequestBroker* broker = nullptr;
    UpstreamClient* client = nullptr;
    AtMostOnceRunner* at_most_once = nullptr;
    Counters* counters = nullptr;
    Timeline* time_line = nullptr;
  };

  explicit CallerApi(const Parts& parts) : parts_(parts) {}

  /** Adds the handlers. */
  void AddRoutes(httplib::Server* server);

  /** From now on new work is refused as not run. */
  void RefuseNewRequests() { is_stopping_ = true; }

 private:
  /** A caller known by its key, and what it asked for. */
  struct Caller {
    ConfigurationWatcher::Snapshot snapshot;
    const ClientAccount* account = nullptr;
    std::string request_name;
  };

  struct Generation;

  std::optional<Caller> Enter(const httplib::Request& request,
                              httplib::Response* response);
  void HandleModels(const httplib::Request& request,
                    httplib::Response* response);
  void HandleChat(const httplib::Request& request, httplib::Response* response);
  void HandleService(const httplib::Request& request,
                     httplib::Response* response);
  void RunOnce(const Caller& caller,
               const httplib::Request& request,
               RequestSpec spec,
               httplib::Response* response);
  AttemptEnd RunAttempt(Generation* generation,
                        const AttemptSpec& order,
                        Interrupt* interrupt);
  bool PrepareGroup(const Generation& generation,
                    const AttemptSpec& order,
                    Interrupt* interrupt,
                    AttemptEnd* end);
  RequestEnd CallService(const httplib::Request& request,
                         const RequestSpec& spec,
                         const std::optional<CallerConnection>& connection,
                         const std::string& attempt,
                         ServiceResponse* result);
  void Refuse(const Caller& caller,
              const CallerError& error,
              httplib::Response* response);

  const Parts parts_;
  TokenEstimator estimator_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<uint64_t> next_name_{1};
};

}  // namespace chicory

#endif  // MODULES_SERVING_CALLER_API_H_
