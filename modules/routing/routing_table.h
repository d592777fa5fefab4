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

/** What may be done with a request after its first send. */
enum class Repeatability {
  /** May run more than once. */
  kIdempotent,
  /** May run at most once. */
  kNonIdempotent,
  /** An event stream; runs once unless the route allows resuming. */
  kStreaming,
};

/** One destination of a route and its share of the traffic. */
struct RouteTarget {
  std::string service;
  /** Relative to the other targets of the route. */
  double weight = 1;
};

/** How the requests of one host and path prefix are served. */
struct RouteEntry {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string path_prefix;
  std::vector<RouteTarget> targets;
  Repeatability repeatability = Repeatability::kNonIdempotent;
  /** Longest time that a caller is kept waiting for the final answer. */
  absl::Duration timeout = absl::Seconds(10);
  /** Time within which an answer (a stream: its first event) is on time. */
  absl::Duration target_latency = absl::Seconds(1);
  /** Longest pause between two events of a stream that is on time. */
  absl::Duration event_gap = absl::InfiniteDuration();
  /** 0 is the most important. */
  int priority = 0;
  /** Upstreams that one request may be sent to. */
  int max_attempts = 1;
  /** Requests need no key. */
  bool anonymous = false;
  /** A broken stream may go on at another upstream. */
  bool resumable = false;

  /** Whether a second run does no harm. */
  bool IsRetryable() const {
    return repeatability == Repeatability::kIdempotent ||
           (repeatability == Repeatability::kStreaming && resumable);
  }
};

/** A group of interchangeable upstreams. */
struct Service {
  std::string name;
  /** Connections that one upstream accepts from all callers together. */
  int max_connections = 1;
  /** Set for model engines only. */
  std::optional<EngineProfile> engine;
};

/** A client account and the rank of its requests. */
struct AccountEntry {
  std::string name;
  /** Overrides the route's priority when set. */
  std::optional<int> priority;
};

/** Bounds on what a caller may send. */
struct CallerLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 4 << 20;
  absl::Duration header_timeout = absl::Seconds(5);
  absl::Duration idle_timeout = absl::Seconds(30);
};

/** One version of the routes, services, client accounts and limits. Immutable
    once built; shared by the requests that it governs.

    @see Router */
class RoutingTable {
 public:
  struct Options {
    uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<Service> services;
    CallerLimits limits;
    /** Whether callers need a key on routes that are not anonymous. */
    bool has_accounts = false;
    std::vector<AccountEntry> accounts;
    /** Key to index into `accounts`. */
    absl::flat_hash_map<std::string, size_t> account_of_key;
  };

  explicit RoutingTable(Options options);

  /** The route with the longest prefix of `path` on `host`; null if none. The
      port in `host` and the letter case are ignored. */
  const RouteEntry* Match(absl::string_view host, absl::string_view path) const;

  /** The account that holds `key`; null if none. */
  const AccountEntry* FindAccountByKey(absl::string_view key) const;

  /** The service by its name; null if unknown. */
  const Service* FindService(absl::string_view name) const;

  /** Grows with every change of the configuration. */
  uint64_t version() const { return options_.version; }
  bool has_accounts() const { return options_.has_accounts; }
  const CallerLimits& limits() const { return options_.limits; }
  const std::vector<Service>& services() const { return options_.services; }
  const std::vector<RouteEntry>& routes() const { return options_.routes; }

 private:
  Options options_;
  /** Indexes of routes by host, longest prefix first. */
  absl::flat_hash_map<std::string, std::vector<size_t>> by_host_;
  absl::flat_hash_map<std::string, size_t> service_index_;
};

/** The target of `route` for a request; `point` in [0, 1) selects by weight. */
const std::string& PickTarget(const RouteEntry& route, double point);

/** Whether an upstream takes new requests. */
enum class RegistrationState { kReady, kDraining };

/** One upstream as its own registration tells. */
struct UpstreamRecord {
  /** Unique over all starts of all upstreams. */
  std::string id;
  std::string service;
  /** `ip:port`. */
  std::string address;
  std::string data_centre;
  int slots = 1;
  RegistrationState state = RegistrationState::kReady;
  /** Unix milliseconds of its start; 0 when not told. */
  int64_t started_ms = 0;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_ROUTING_TABLE_H_
