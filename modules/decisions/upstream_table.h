#ifndef MODULES_DECISIONS_UPSTREAM_TABLE_H_
#define MODULES_DECISIONS_UPSTREAM_TABLE_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/core/strong_id.h"
#include "modules/decisions/request_table.h"

namespace chicory {

/** The load of an upstream as it reported it. */
struct LoadReport {
  /** Identifies the upstream process; increases with each restart, after which
      its memory is empty. */
  uint64_t incarnation = 0;
  /** Time of measurement by the clock of this instance. */
  absl::Time measured_at = absl::InfinitePast();
  /** Capacity of the memory, in tokens; 0 while nothing was reported. */
  int64_t memory_tokens = 0;
  int64_t free_memory_tokens = 0;
  /** Memory requested by queued requests, by priority level, in tokens. */
  std::array<int64_t, kPriorityLevels> waiting_memory_tokens{};
  /** Prefill tokens queued or in progress, by priority level. */
  std::array<int64_t, kPriorityLevels> queued_prefill_tokens{};
  double prefill_tokens_per_second = 0;
  /** True when the upstream is shutting down. */
  bool leaving = false;
};

/** Whether an upstream may be given requests: only kLive ones are. kBroken has
    an open circuit breaker, kLeaving shuts down, kGone is no longer listed. */
enum class UpstreamState { kLive, kBroken, kLeaving, kGone };

/** Returns the name of a state in the operator API. */
const char* UpstreamStateName(UpstreamState state);

/** One attempt in flight on an upstream and the load that it adds. */
struct Placement {
  absl::Time placed_at;
  int level = 0;
  /** Estimated number of prompt tokens to prefill; 0 after the first token. */
  int64_t prefill_tokens = 0;
  int64_t memory_tokens = 0;
  /** True for a long prompt that has no first token yet. */
  bool is_long = false;
  /** True for a request suspected of crashing upstreams. */
  bool is_crash_suspect = false;
  RequestId request;
};

/** The state of one upstream as known to this instance. */
struct UpstreamRow {
  UpstreamId id;
  std::string name;
  /** `ip:port`. */
  std::string address;
  std::string data_centre;
  std::string pool;
  std::vector<std::string> models;
  UpstreamState state = UpstreamState::kLive;
  LoadReport report;
  /** Attempts of this instance in flight, by attempt sequence number. */
  absl::flat_hash_map<uint64_t, Placement> placements;
  /** Prefill of placements newer than the report, by level, in tokens. */
  std::array<int64_t, kPriorityLevels> own_prefill_tokens{};
  /** Memory of placements newer than the report, in tokens. */
  int64_t own_memory_tokens = 0;
  /** Memory of placements older than the report that ended since it, in
      tokens. */
  int64_t freed_memory_tokens = 0;
  /** Number of long prompts of this instance in prefill. */
  int long_prefills = 0;
  /** Number of attempts of this instance suspected of crashing upstreams. */
  int crash_suspects = 0;
  int consecutive_failures = 0;
  /** Number of consecutive load polls that got no response. */
  int failed_polls = 0;
  /** While broken: when the upstream becomes live again. */
  absl::Time retry_at = absl::InfinitePast();

  /** Returns the number of prefill tokens that are served before a new request
      of `level`. */
  int64_t PrefillAhead(int level) const;

  /** Returns the memory available to a new request of `level`, in tokens: the
      reported free memory, adjusted for placements since the report, less what
      requests queued at the same or a more urgent level wait for. Can be
      negative. */
  int64_t FreeMemory(int level) const;
};

/** The upstreams of one instance, with an index of the eligible ones by pool
    and model for placement. Not thread-safe. */
class UpstreamTable {
 public:
  /** Adds an upstream, or updates address, pool and models of the one with the
      same name.
      @returns the id of the upstream */
  UpstreamId Upsert(const UpstreamRow& listed);

  /** Returns an upstream, or null when there is none with this id. */
  UpstreamRow* Find(UpstreamId id);
  const UpstreamRow* Find(UpstreamId id) const;

  /** Returns an upstream by name, or null when there is none. */
  UpstreamRow* FindByName(const std::string& name);
  const UpstreamRow* FindByName(const std::string& name) const;

  /** Changes the state of an upstream and updates the index. */
  void SetState(UpstreamId id, UpstreamState state);

  /** Applies a load report unless it is as old as the present one or older. */
  void ApplyReport(UpstreamId id, const LoadReport& report);

  /** Adds an attempt to the load of an upstream. */
  void Place(UpstreamId id, uint64_t attempt, const Placement& placement);

  /** Removes the prefill of an attempt from the load of an upstream. */
  void FinishPrefill(UpstreamId id, uint64_t attempt);

  /** Removes an attempt from the load of an upstream.
      @returns false when the upstream does not have this attempt */
  bool Remove(UpstreamId id, uint64_t attempt);

  /** Returns the live upstreams of a pool that serve `model`, in no particular
      order. */
  const std::vector<UpstreamId>& Eligible(const std::string& pool,
                                          const std::string& model) const;

  /** Returns all upstreams in any state. */
  const absl::flat_hash_map<UpstreamId, UpstreamRow>& rows() const {
    return rows_;
  }

 private:
  void AddToIndex(const UpstreamRow& row);
  void RemoveFromIndex(const UpstreamRow& row);

  absl::flat_hash_map<UpstreamId, UpstreamRow> rows_;
  absl::flat_hash_map<std::string, UpstreamId> by_name_;
  absl::flat_hash_map<std::string, std::vector<UpstreamId>> eligible_;
  std::vector<UpstreamId> no_upstreams_;
  uint64_t next_id_ = 1;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_UPSTREAM_TABLE_H_
