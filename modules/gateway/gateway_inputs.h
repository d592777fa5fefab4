#ifndef MODULES_GATEWAY_GATEWAY_INPUTS_H_
#define MODULES_GATEWAY_GATEWAY_INPUTS_H_

#include <string>
#include <vector>

#include "modules/routing/routing_table.h"

namespace chicory {

/** One changed registration of an upstream. */
struct UpstreamChange {
  UpstreamRecord record;
  bool removed = false;
};

/** Takes what a source says of the configuration and of the upstreams. */
class GatewayInputs {
 public:
  virtual ~GatewayInputs() = default;
  /** A configuration in full; it may be older than the one in force. */
  virtual void OnConfiguration(RoutingTable::Options options) = 0;
  /** All upstreams. `after_outage`: registrations may have lapsed. */
  virtual void OnUpstreams(const std::vector<UpstreamRecord>& upstreams,
                           bool after_outage) = 0;
  virtual void OnUpstreamChanges(const std::vector<UpstreamChange>& changes,
                                 bool after_outage) = 0;
  /** The source was lost or regained. */
  virtual void OnSourceReachable(const std::string& source,
                                 bool reachable,
                                 const std::string& reason) = 0;
  /** What a source sent cannot be used. */
  virtual void OnUnreadable(const std::string& what,
                            const std::string& reason) = 0;
};

/** Where the configuration and the list of upstreams come from. */
class GatewaySource {
 public:
  virtual ~GatewaySource() = default;
  /** Begins to call `inputs`, from the event loop. */
  virtual void Start(GatewayInputs* inputs) = 0;
  /** Something newer than what was told is known to exist. */
  virtual void RefreshConfiguration() = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_INPUTS_H_
