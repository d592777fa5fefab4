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

/** A pool of idle connections to upstreams. Must be used on the event loop's
    thread. */
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& loop) : loop_(loop) {}

  /** Returns an idle or a new connection to the upstream. Set `require_new` for
      a request that must not be sent twice: an idle connection may break after
      the request was written. */
  std::shared_ptr<HttpClientConnection> Acquire(UpstreamKey upstream,
                                                Endpoint address,
                                                bool require_new,
                                                absl::Time now);
  /** Returns a reusable connection to the pool. `keep_alive` is the time that
      the upstream keeps an idle connection open, zero if it did not announce
      one. */
  void Release(UpstreamKey upstream,
               std::shared_ptr<HttpClientConnection> connection,
               absl::Duration keep_alive,
               absl::Time now);
  /** Closes connections that are unusable or have been idle too long. */
  void Expire(absl::Time now);
  boost::asio::io_context& loop() { return loop_; }
  /** The number of idle connections. */
  size_t idle() const;

 private:
  struct Idle {
    std::shared_ptr<HttpClientConnection> connection;
    absl::Time expires_at;
  };

  boost::asio::io_context& loop_;
  absl::flat_hash_map<UpstreamKey, std::deque<Idle>> idle_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_UPSTREAM_POOL_H_
