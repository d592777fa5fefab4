#ifndef MODULES_GATEWAY_GATEWAY_STATE_H_
#define MODULES_GATEWAY_GATEWAY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>

#include "absl/container/flat_hash_map.h"
#include "modules/core/event_log.h"
#include "modules/decisions/retry_window.h"
#include "modules/gateway/gateway_metrics.h"
#include "modules/gateway/upstream_pool.h"
#include "modules/gateway/wire_codec.h"
#include "modules/peers/placement_node.h"
#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {

class RequestHandler;

/** What the requests of one gateway share. Belongs to the event loop's thread.
 */
struct GatewayState {
  boost::asio::io_context& loop;
  const WireCodec& codec;
  EventLog& log;
  GatewayMetrics& metrics;
  /** Null until a configuration is known. */
  std::shared_ptr<const RoutingTable> table;
  UpstreamDirectory upstreams;
  /** When the source last spoke of upstreams. */
  absl::Time upstreams_heard = absl::InfinitePast();
  UpstreamPool pool;
  RetryWindow retries;
  PlacementNode* placement = nullptr;
  /** Requests that wait for a decision or run, by their key. */
  absl::flat_hash_map<WorkKey, RequestHandler*> runs;
  std::minstd_rand random;
  /** To be called when a request has begun to wait. */
  std::function<void()> on_waiting;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_GATEWAY_STATE_H_
