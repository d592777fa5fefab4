#ifndef MODULES_GATEWAY_GATEWAY_INPUTS_H_
#define MODULES_GATEWAY_GATEWAY_INPUTS_H_

#include <string>
#include <vector>

#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** Takes what a source says of the configuration and of the upstreams. */
class GatewayInputs {
 public:
  virtual ~GatewayInputs() = default;
  /** A configuration in full; it may be older than the one in force. */
  virtual void OnConfiguration(RoutingTable::Options options) = 0;
  /** All upstreams as of `revision`. `after_outage`: registrations may have
      lapsed. */
  virtual void OnUpstreams(const std::vector<UpstreamRecord>& upstreams,
                           uint64_t revision,
                           bool after_outage) = 0;
  /** What changed; an empty batch says that nothing did. */
  virtual void OnUpstreamChanges(const UpstreamBatch& batch) = 0;
  /** The source was lost or regained. */
  virtual void OnSourceReachable(const std::string& source,
                                 bool reachable,
                                 const std::string& reason) = 0;
  /** What a source sent cannot be used. */
  virtual void OnInvalidInput(const std::string& what,
                              const std::string& reason) = 0;
};

/** How new an answer of the source must be. */
enum class Freshness {
  /** It may be some seconds old, which costs the source little. */
  kMayBeStale,
  kNewest,
};

/** Where the configuration and the list of upstreams come from. */
class GatewaySource {
 public:
  virtual ~GatewaySource() = default;
  /** Reads what there is and reports it to `inputs`, from the event loop. */
  virtual void Start(GatewayInputs* inputs) = 0;
  /** Begins or ends to watch for changes. */
  virtual void SetWatching(bool watching) = 0;
  /** Something newer than what was reported is known to exist. */
  virtual void RefreshConfiguration(Freshness freshness) = 0;
  virtual void RefreshUpstreams(Freshness freshness) = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_INPUTS_H_
