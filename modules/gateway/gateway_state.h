#ifndef MODULES_GATEWAY_GATEWAY_STATE_H_
#define MODULES_GATEWAY_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "modules/core/event_log.h"
#include "modules/core/memory_budget.h"
#include "modules/decisions/drain_plan.h"
#include "modules/decisions/retry_window.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/upstream_pool.h"
#include "modules/gateway/wire_codec.h"
#include "modules/peers/placement_node.h"
#include "modules/routing/cold_upstreams.h"
#include "modules/routing/evacuations.h"
#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_announcements.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {

class RequestHandler;

/** State shared by all requests of one gateway. Must be accessed on the event
    loop's thread only. */
struct GatewayState {
  /** Returns the upstream if it is registered as ready, has not announced
      otherwise to this instance and is in no evacuated data centre; null
      otherwise. All that is sent to an upstream is sent to one that this
      function returned. */
  const UpstreamRecord* FindOpen(UpstreamKey upstream, absl::Time now) const;
  /** The upstreams of a service that are registered as ready but have announced
      otherwise. */
  struct ClosedUpstreams {
    std::vector<UpstreamKey> keys;
    /** When the first of the service accepts requests: in the past if one does,
        infinite if all are leaving. */
    absl::Time service_opens_at = absl::InfinitePast();
  };
  ClosedUpstreams FindClosed(absl::string_view service, absl::Time now) const;
  /** Counts the upstreams of each service after a change of `upstreams`,
      `evacuations` or `table`, and returns those that may be scheduled. */
  std::vector<UpstreamSpec> UpdateUsableUpstreams(absl::Time now);
  /** Returns whether the upstream is in an evacuated data centre. */
  bool IsEvacuated(UpstreamKey upstream) const;
  /** Returns whether the service has upstreams in evacuated data centres, in
     any state, and none elsewhere that is registered as ready. */
  bool IsServiceEvacuated(absl::string_view service) const;

  /** Passes the ready upstreams to `cold_upstreams` and logs which have become
      cold. */
  void UpdateColdUpstreams(const std::vector<UpstreamSpec>& ready,
                           absl::Time now);
  /** Sets until when the upstream is cold, and the rate that it then gets. */
  void FillColdLimit(UpstreamSpec* spec) const;

  boost::asio::io_context& loop;
  const WireCodec& codec;
  EventLog& log;
  GatewayMetrics& metrics;
  /** Null until the first configuration is received. */
  std::shared_ptr<const RoutingTable> table;
  UpstreamDirectory upstreams;
  UpstreamAnnouncements announcements;
  /** Data centres whose upstreams get no new requests. */
  Evacuations evacuations;
  ColdUpstreams cold_upstreams;
  /** @see Gateway::Options::cold_excess */
  double cold_excess = 1;
  double cold_slack = 1;
  /** Number of the upstreams that are registered as ready elsewhere than in
      evacuated data centres, by service. */
  absl::flat_hash_map<std::string, size_t> ready_upstreams;
  /** Number of the upstreams in evacuated data centres, in any state, by
      service. */
  std::map<std::string, size_t> evacuated_upstreams;
  /** Time of the last list or batch of changes, from the source or from another
      instance. */
  absl::Time upstreams_updated_at = absl::InfinitePast();
  UpstreamPool pool;
  /** For all that is held for callers and upstreams. */
  MemoryBudget* memory = nullptr;
  RetryWindow retries;
  PlacementNode* placement = nullptr;
  /** Handlers of requests that await a decision or run, by key. */
  absl::flat_hash_map<WorkKey, RequestHandler*> handlers;
  /** All requests that were accepted and have not ended. */
  absl::flat_hash_set<RequestHandler*> requests;
  /** Begins with the graceful shutdown of this instance. */
  DrainPlan drain;
  std::minstd_rand random;
  /** Called after a request was submitted to `placement`. */
  std::function<void()> on_request_waiting;
  /** Returns the time after which this instance probably has its first
      configuration. */
  std::function<absl::Duration()> configuration_expected_in;
  /** Called after an upstream has announced that it is leaving. */
  std::function<void()> on_upstream_leaving;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_STATE_H_
