#ifndef MODULES_SERVING_OPERATOR_API_H_
#define MODULES_SERVING_OPERATOR_API_H_

#include <functional>
#include <optional>
#include <string>

#include "modules/core/counters.h"
#include "modules/core/timeline.h"
#include "modules/peers/peer_node.h"
#include "modules/serving/configuration_watcher.h"
#include "modules/serving/request_broker.h"
#include "modules/store/configuration_publisher.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace chicory {

/** What operators reach: health, counters, the time line and the
    administration API. A team proves itself with its token and sees and
    publishes only what is its own; the platform team sees everything. */
class OperatorApi {
 public:
  /** All pointers must outlive this object. */
  struct Parts {
    std::string instance;
    ConfigurationWatcher* configuration_watcher = nullptr;
    RequestBroker* broker = nullptr;
    PeerNode* peers = nullptr;
    ConfigurationPublisher* publisher = nullptr;
    Counters* counters = nullptr;
    Timeline* time_line = nullptr;
    /** Whether the instance takes new work. */
    std::function<bool()> is_ready;
  };

  explicit OperatorApi(Parts parts) : parts_(std::move(parts)) {}

  /** Adds the handlers. */
  void AddRoutes(httplib::Server* server);

 private:
  /** The team whose token the request carries; none after an error was sent. */
  std::optional<std::string> TeamOf(const httplib::Request& request,
                                    httplib::Response* response) const;
  void HandleConfiguration(const httplib::Request& request,
                           httplib::Response* response) const;
  void HandleAccounts(const httplib::Request& request,
                      httplib::Response* response) const;
  void HandleHistory(const httplib::Request& request,
                     httplib::Response* response) const;
  void HandleUpstreams(httplib::Response* response) const;
  void HandleMembers(httplib::Response* response) const;
  void HandlePublish(const httplib::Request& request,
                     httplib::Response* response,
                     bool only_check) const;

  const Parts parts_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_OPERATOR_API_H_
