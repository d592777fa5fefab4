#ifndef MODULES_GATEWAY_GATEWAY_STATE_H_
#define MODULES_GATEWAY_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>

#include "absl/container/flat_hash_map.h"
#include "modules/core/event_log.h"
#include "modules/decisions/drain_plan.h"
#include "modules/decisions/retry_window.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/upstream_pool.h"
#include "modules/gateway/wire_codec.h"
#include "modules/peers/placement_node.h"
#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {

class RequestHandler;

/** State shared by all requests of one gateway. Must be accessed on the event
    loop's thread only. */
struct GatewayState {
  boost::asio::io_context& loop;
  const WireCodec& codec;
  EventLog& log;
  GatewayMetrics& metrics;
  /** Null until the first configuration is received. */
  std::shared_ptr<const RoutingTable> table;
  UpstreamDirectory upstreams;
  /** Time of the last list or batch of changes, from the source or from another
      instance. */
  absl::Time upstreams_updated_at = absl::InfinitePast();
  UpstreamPool pool;
  RetryWindow retries;
  PlacementNode* placement = nullptr;
  /** Handlers of requests that await a decision or run, by key. */
  absl::flat_hash_map<WorkKey, RequestHandler*> handlers;
  /** Begins with the graceful shutdown of this instance. */
  DrainPlan drain;
  std::minstd_rand random;
  /** Called after a request was submitted to `placement`. */
  std::function<void()> on_request_waiting;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_STATE_H_
