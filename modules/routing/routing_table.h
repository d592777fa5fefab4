#ifndef MODULES_ROUTING_ROUTING_TABLE_H_
#define MODULES_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/engine_timing.h"

namespace chicory {

/** Whether the requests of a route may be executed more than once. */
enum class Repeatability {
  /** May be executed more than once. */
  kIdempotent,
  /** Executed at most once. */
  kNonIdempotent,
  /** An event stream; executed at most once unless the route is resumable. */
  kStreaming,
};

/** A destination service of a route and its weight. */
struct RouteTarget {
  std::string service;
  /** Share of the traffic, relative to the route's other targets. */
  double weight = 1;
};

/** Routing rule for the requests of one host and path prefix. */
struct RouteEntry {
  std::string name;
  std::string host;
  /** Starts and ends with a slash. */
  std::string path_prefix;
  std::vector<RouteTarget> targets;
  Repeatability repeatability = Repeatability::kNonIdempotent;
  /** Time limit for the complete response, as seen by the caller. */
  absl::Duration timeout = absl::Seconds(10);
  /** Latency objective for the response; for a stream, for its first event. */
  absl::Duration target_latency = absl::Seconds(1);
  /** Objective for the longest gap between two events of a stream. */
  absl::Duration event_gap = absl::InfiniteDuration();
  /** 0 is the highest priority. */
  int priority = 0;
  /** Maximum number of attempts per request. */
  int max_attempts = 1;
  /** Requests need no API key. */
  bool anonymous = false;
  /** An interrupted stream may be resumed at another upstream. */
  bool resumable = false;
  /** Names of the regions whose upstreams may serve its requests; empty for
      all. */
  std::vector<std::string> allowed_regions;

  /** Returns whether a request may be executed again after a failed attempt. */
  bool IsRetryable() const {
    return repeatability == Repeatability::kIdempotent ||
           (repeatability == Repeatability::kStreaming && resumable);
  }
};

/** A group of interchangeable upstreams. */
struct Service {
  std::string name;
  /** Connections that one upstream accepts in total. */
  int max_connections = 1;
  /** Performance profile; set only for model engines. */
  std::optional<EngineProfile> engine;
  /** How long an upstream is cold after its start. */
  absl::Duration cold_duration = absl::ZeroDuration();
  /** Requests per second that a cold upstream takes from all instances
      together; 0 if upstreams of this service are never cold. */
  double cold_requests_per_second = 0;
};

/** A client account and the priority of its requests. */
struct AccountEntry {
  std::string name;
  /** Overrides the route's priority when set. */
  std::optional<int> priority;
  /** Names of the regions whose upstreams may serve its requests, in addition
      to what the route allows; empty for all. */
  std::vector<std::string> allowed_regions;
};

/** Size limits and timeouts for requests of callers. */
struct CallerLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 4 << 20;
  absl::Duration header_timeout = absl::Seconds(5);
  absl::Duration idle_timeout = absl::Seconds(30);
};

/** One version of the routes, services, client accounts and limits.

    Immutable after construction and therefore safe to share between threads;
    each request keeps the table it was routed with. */
class RoutingTable {
 public:
  struct Options {
    uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /** Whether callers need an API key on routes that are not anonymous. */
    bool has_accounts = false;
    std::vector<AccountEntry> accounts;
    /** Maps API keys to indexes into `accounts`. */
    absl::flat_hash_map<std::string, size_t> account_of_key;
  };

  explicit RoutingTable(Options options);

  /** Returns the route of `host` with the longest prefix of `path`; null if
      none matches. The port and the letter case of `host` are ignored. */
  const RouteEntry* Match(absl::string_view host, absl::string_view path) const;

  /** Returns the client account of an API key; null if the key is unknown. */
  const AccountEntry* FindAccountByKey(absl::string_view key) const;

  /** Returns the service called `name`; null if unknown. */
  const Service* FindService(absl::string_view name) const;

  /** Configuration version; increases with every change. */
  uint64_t version() const { return options_.version; }
  bool has_accounts() const { return options_.has_accounts; }
  const CallerLimits& limits() const { return options_.limits; }
  const std::vector<Service>& services() const { return options_.services; }
  const std::vector<RouteEntry>& routes() const { return options_.routes; }
  /** Returns all that this table was made from. */
  const Options& options() const { return options_; }

 private:
  Options options_;
  /** Indexes of routes by normalized host, longest prefix first. */
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host_;
  absl::flat_hash_map<std::string, size_t> service_index_;
};

/** Returns the name of a target service of `route`, selected by weight. `point`
    is in [0, 1). The route must have a target. */
const std::string& PickTarget(const RouteEntry& route, double point);

/** Whether an upstream accepts new requests. */
enum class RegistrationState { kReady, kDraining };

/** The registration of one upstream. */
struct UpstreamRecord {
  /** Unique among all processes of all upstreams; changes with a restart. */
  std::string id;
  std::string service;
  /** `ip:port`. */
  std::string address;
  std::string data_centre;
  int slots = 1;
  RegistrationState state = RegistrationState::kReady;
  /** Start time in Unix milliseconds; 0 if unknown. */
  int64_t started_ms = 0;
  /** Until then it is cold: it takes only a few requests a second, see
      Service::cold_requests_per_second. In the time of this process. */
  absl::Time cold_until = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_ROUTING_ROUTING_TABLE_H_
