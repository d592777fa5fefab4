#ifndef MODULES_DECISIONS_PREFIX_INDEX_H_
#define MODULES_DECISIONS_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "modules/core/strong_id.h"

namespace chicory {

/** Estimates which upstreams have which prompt prefixes in their prefix cache.

    Sources are the placements of this instance and the cache events of the
    upstreams. Events may be late or lost: after a gap in their sequence,
    everything recorded for that upstream is invalid. The number of blocks is
    bounded; the oldest are evicted first. Not thread-safe. */
class PrefixIndex {
 public:
  /** `max_blocks` is the maximum number of blocks recorded. */
  explicit PrefixIndex(size_t max_blocks = 200000) : max_blocks_(max_blocks) {}

  /** An upstream and the number of leading blocks that it holds. */
  struct Match {
    UpstreamId upstream;
    size_t blocks = 0;
  };

  /** Records that `upstream` holds all of `blocks`. */
  void Insert(UpstreamId upstream, const std::vector<uint64_t>& blocks);

  /** Applies a cache event. `sequence` numbers the events of the upstream;
      events that are not newer than the last one are ignored. */
  void OnEvent(UpstreamId upstream,
               uint64_t sequence,
               uint64_t block,
               bool stored);

  /** Invalidates everything recorded for `upstream`. */
  void Invalidate(UpstreamId upstream);

  /** Called when `upstream` has restarted: its cache is empty and its event
      sequence starts again. */
  void OnRestart(UpstreamId upstream);

  /** Returns the upstream that holds the most leading blocks of a prompt; 0
      blocks when there is none. */
  Match LongestMatch(const std::vector<uint64_t>& blocks) const;

  /** Returns the number of leading blocks of a prompt that `upstream` holds. */
  size_t MatchedBlocks(UpstreamId upstream,
                       const std::vector<uint64_t>& blocks) const;

  /** Returns the number of blocks recorded. */
  size_t size() const { return insertion_order_.size(); }

 private:
  /** Maximum number of upstreams recorded for one block. */
  static constexpr size_t kMaxHolders = 8;

  struct Holder {
    UpstreamId upstream;
    uint64_t generation = 0;
  };

  bool IsCurrent(const Holder& holder) const;
  void InsertBlock(UpstreamId upstream, uint64_t block);
  uint64_t GenerationOf(UpstreamId upstream) const;

  size_t max_blocks_;
  absl::flat_hash_map<uint64_t, std::vector<Holder>> holders_;
  /** Blocks in order of insertion, for eviction. */
  std::deque<uint64_t> insertion_order_;
  /** Number of invalidations by upstream. Holders of an older generation are
      invalid. */
  absl::flat_hash_map<UpstreamId, uint64_t> generations_;
  absl::flat_hash_map<UpstreamId, uint64_t> last_sequence_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_PREFIX_INDEX_H_
