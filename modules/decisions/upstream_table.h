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

/** What an upstream says of its load; older than now by its age. */
struct LoadReport {
  /** Start of the upstream's process; a new one means its memory is empty. */
  uint64_t incarnation = 0;
  /** When it was measured, by the receiver's clock. */
  absl::Time measured_at = absl::InfinitePast();
  int64_t memory_tokens = 0;
  int64_t free_memory_tokens = 0;
  /** Memory that waiting work asks for, by priority level. */
  std::array<int64_t, kPriorityLevels> waiting_memory_tokens{};
  /** Prefill tokens waiting or under way, by priority level. */
  std::array<int64_t, kPriorityLevels> queued_prefill_tokens{};
  double prefill_tokens_per_second = 0;
  bool leaving = false;
};

/** What is known of an upstream's place in the fleet. */
enum class UpstreamState { kLive, kBroken, kLeaving, kGone };

/** The stable name of a state. */
const char* UpstreamStateName(UpstreamState state);

/** One attempt that counts against an upstream. */
struct Placement {
  absl::Time placed_at;
  int level = 0;
  /** Left to prefill by our estimate; 0 after the first token. */
  int64_t prefill_tokens = 0;
  int64_t memory_tokens = 0;
  bool is_long = false;
  /** True for a request under suspicion of crashing upstreams. */
  bool is_suspect = false;
  RequestId request;
};

/** One upstream as this instance sees it. */
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
  /** This instance's attempts in flight, by attempt sequence. */
  absl::flat_hash_map<uint64_t, Placement> placements;
  /** Prefill of placements newer than the report, by level, in tokens. */
  std::array<int64_t, kPriorityLevels> own_prefill_tokens{};
  /** Memory of placements newer than the report, in tokens. */
  int64_t own_memory_tokens = 0;
  /** Memory that older placements gave back since the report, in tokens. */
  int64_t freed_memory_tokens = 0;
  /** This instance's long attempts that have no first token yet. */
  int long_prefills = 0;
  /** This instance's attempts under suspicion of crashing upstreams. */
  int suspects = 0;
  int consecutive_failures = 0;
  /** Unanswered questions for its load, in a row. */
  int failed_polls = 0;
  /** While broken: when one request may try it again. */
  absl::Time retry_at = absl::InfinitePast();

  /** Prefill tokens ahead of a newcomer at `level`. */
  int64_t PrefillAhead(int level) const;

  /** Memory that a newcomer at `level` would find free, by the report and by
      what was placed since, in tokens. Work that waits at a lower level does
      not stand in its way. */
  int64_t FreeMemory(int level) const;
};

/** The upstreams of one instance, with the index that placement needs: the
    eligible ones by pool and model. Not thread-safe. */
class UpstreamTable {
 public:
  /** Adds an upstream or updates its address and models; returns its id. */
  UpstreamId Upsert(const UpstreamRow& seen);

  /** The row, or null. */
  UpstreamRow* Find(UpstreamId id);
  const UpstreamRow* Find(UpstreamId id) const;

  /** The row of a name, or null. */
  UpstreamRow* FindByName(const std::string& name);
  const UpstreamRow* FindByName(const std::string& name) const;

  /** Changes the state and the index with it. */
  void SetState(UpstreamId id, UpstreamState state);

  /** Takes over a report, unless it is older than the present one. */
  void ApplyReport(UpstreamId id, const LoadReport& report);

  /** Counts an attempt against an upstream. */
  void Place(UpstreamId id, uint64_t attempt, const Placement& placement);

  /** Takes note that the prefill of an attempt is done. */
  void FinishPrefill(UpstreamId id, uint64_t attempt);

  /** Takes an attempt off an upstream; false when it was not there. */
  bool Remove(UpstreamId id, uint64_t attempt);

  /** Live upstreams of a pool that serve `model`. */
  const std::vector<UpstreamId>& Eligible(const std::string& pool,
                                          const std::string& model) const;

  /** All rows, for the administration API and for sweeps. */
  const absl::flat_hash_map<UpstreamId, UpstreamRow>& rows() const {
    return rows_;
  }

 private:
  void AddToIndex(const UpstreamRow& row);
  void RemoveFromIndex(const UpstreamRow& row);

  absl::flat_hash_map<UpstreamId, UpstreamRow> rows_;
  absl::flat_hash_map<std::string, UpstreamId> by_name_;
  absl::flat_hash_map<std::string, std::vector<UpstreamId>> eligible_;
  std::vector<UpstreamId> none_;
  uint64_t next_id_ = 1;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_UPSTREAM_TABLE_H_
