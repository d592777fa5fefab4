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

/** The HTTP API for operators: health, metrics, the timeline and the
    administration API.

    Administration requests are authenticated by a team's token. A team can read
    and publish only its own routes, accounts, files and history; the platform
    team can access those of all teams. Handlers run on the server's threads.
    @see HttpApiServer */
class OperatorApi {
 public:
  /** The objects that the handlers use. All pointers must outlive this object.
   */
  struct Dependencies {
    /** Name of this instance. */
    std::string instance;
    ConfigurationWatcher* configuration_watcher = nullptr;
    RequestBroker* broker = nullptr;
    PeerNode* peers = nullptr;
    ConfigurationPublisher* publisher = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
    /** Returns whether the instance accepts new requests. */
    std::function<bool()> is_ready;
  };

  explicit OperatorApi(Dependencies dependencies)
      : dependencies_(std::move(dependencies)) {}

  /** Adds the handlers to `server`, which must not have been started. */
  void AddRoutes(httplib::Server* server);

 private:
  /** Returns the team whose token the request carries. Without a valid one,
      sets an error response and returns nothing. */
  std::optional<std::string> AuthenticateTeam(
      const httplib::Request& request,
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
                     bool check_only) const;

  const Dependencies dependencies_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_OPERATOR_API_H_
