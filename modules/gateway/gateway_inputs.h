#ifndef MODULES_GATEWAY_GATEWAY_INPUTS_H_
#define MODULES_GATEWAY_GATEWAY_INPUTS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/instance_roster.h"
#include "modules/peers/source_part.h"
#include "modules/routing/evacuations.h"
#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** Receives the configuration and the upstream registrations from a
    GatewaySource. All methods are called on the event loop's thread. */
class GatewayInputs {
 public:
  virtual ~GatewayInputs() = default;
  /** Called with a complete configuration, which may be older than the one in
      force. */
  virtual void OnConfiguration(RoutingTable::Options options) = 0;
  /** Called with all upstreams as of `revision`. `after_outage` is set if the
      source was unreachable before, so that registrations may have lapsed. */
  virtual void OnUpstreams(const std::vector<UpstreamRecord>& upstreams,
                           uint64_t revision,
                           bool after_outage) = 0;
  /** Called with a batch of changes; an empty batch confirms that nothing
      changed up to its revision. */
  virtual void OnUpstreamChanges(const UpstreamBatch& batch) = 0;
  /** Called with all evacuated data centres as of the set's revision. */
  virtual void OnEvacuations(const Evacuations& evacuations) = 0;
  /** Called when the source has confirmed that as of `as_of` it had nothing of
      `part` beyond what has been passed to the other methods. */
  virtual void OnSourceConfirmed(SourcePart part, absl::Time as_of) = 0;
  /** Called with the instances that the source lists, this one included if it
      is among them. */
  virtual void OnInstances(const std::vector<InstanceIp>& instances) = 0;
  /** Called when the part of the source named `source` becomes unreachable or
      reachable again. `reason` is empty if it is reachable. */
  virtual void OnSourceReachable(const std::string& source,
                                 bool reachable,
                                 const std::string& reason) = 0;
  /** Called when data from the source cannot be parsed. `what` is the kind of
      data; `reason` describes the error or names the unusable object. */
  virtual void OnInvalidInput(const std::string& what,
                              const std::string& reason) = 0;
};

/** How recent the data returned by the source must be. */
enum class Freshness {
  /** The data may be some seconds old, which is cheap for the source. */
  kMayBeStale,
  kNewest,
};

/** Provides the configuration and the list of upstreams. Implemented for each
    kind of store; called and calling back on the event loop's thread. */
class GatewaySource {
 public:
  virtual ~GatewaySource() = default;
  /** Starts to read the current data, which is passed to `inputs` from the
      event loop. `inputs` must outlive this object. */
  virtual void Start(GatewayInputs* inputs) = 0;
  /** Starts or stops watching for changes. */
  virtual void SetWatching(bool watching) = 0;
  /** Reads the configuration again, because a newer one is known to exist. */
  virtual void RefreshConfiguration(Freshness freshness) = 0;
  /** Lists the upstreams again, because newer changes are known to exist. */
  virtual void RefreshUpstreams(Freshness freshness) = 0;
  /** Reads the evacuated data centres once, unless that was done before. */
  virtual void ReadEvacuations() = 0;
  /** Adds an instance to the source's list of instances, or removes it. Whether
      that has succeeded shows when the list is read. */
  virtual void ListInstance(InstanceIp instance) = 0;
  virtual void UnlistInstance(InstanceIp instance) = 0;
  /** Reads the list, after what was ordered before has been done. */
  virtual void ReadInstances(Freshness freshness) = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_INPUTS_H_
