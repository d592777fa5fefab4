#ifndef MODULES_GATEWAY_UPSTREAM_POOL_H_
#define MODULES_GATEWAY_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/net/http_client_connection.h"

namespace chicory {

/** Idle connections to upstreams, kept for a next request. Belongs to the event
    loop's thread. */
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& loop) : loop_(loop) {}

  /** A connection to the upstream. `fresh`: one that never served, because the
      request may not be sent twice. */
  std::shared_ptr<HttpClientConnection> Acquire(UpstreamKey upstream,
                                                Endpoint address,
                                                bool fresh,
                                                absl::Time now);
  /** Gives a reusable connection back; the upstream keeps it for `keep_alive`,
      zero when it did not say. */
  void Release(UpstreamKey upstream,
               std::shared_ptr<HttpClientConnection> connection,
               absl::Duration keep_alive,
               absl::Time now);
  /** Closes what has been idle for too long. */
  void Expire(absl::Time now);
  size_t idle() const;

 private:
  struct Idle {
    std::shared_ptr<HttpClientConnection> connection;
    absl::Time until;
  };

  boost::asio::io_context& loop_;
  absl::flat_hash_map<UpstreamKey, std::deque<Idle>> idle_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_UPSTREAM_POOL_H_
