#ifndef MODULES_DECISIONS_PREFIX_INDEX_H_
#define MODULES_DECISIONS_PREFIX_INDEX_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "modules/core/strong_id.h"

namespace chicory {

/** Which upstreams probably hold which prompt prefixes.

    Learns from this instance's own placements and from the upstreams' cache
    events. Events come late and with gaps: after a gap all that is known of
    that upstream is dropped. Holds a bounded number of blocks, oldest out
    first. Not thread-safe. */
class PrefixIndex {
 public:
  /** `max_blocks` bounds the memory, in blocks. */
  explicit PrefixIndex(size_t max_blocks = 200000) : max_blocks_(max_blocks) {}

  /** An upstream and the leading blocks that it holds. */
  struct Match {
    UpstreamId upstream;
    size_t blocks = 0;
  };

  /** Takes note that `upstream` holds all of `blocks`. */
  void Insert(UpstreamId upstream, const std::vector<uint64_t>& blocks);

  /** Applies a cache event; `sequence` counts the upstream's events. */
  void OnEvent(UpstreamId upstream,
               uint64_t sequence,
               uint64_t block,
               bool stored);

  /** Forgets what `upstream` holds. */
  void Forget(UpstreamId upstream);

  /** A new process of `upstream` runs: it holds nothing and counts its events
      from the start. */
  void OnRestart(UpstreamId upstream);

  /** The upstream with the longest run of leading blocks; none is 0 blocks. */
  Match Longest(const std::vector<uint64_t>& blocks) const;

  /** Leading blocks that `upstream` holds. */
  size_t Matched(UpstreamId upstream,
                 const std::vector<uint64_t>& blocks) const;

  /** Blocks held. */
  size_t size() const { return order_.size(); }

 private:
  /** Most upstreams remembered for one block. */
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
  std::deque<uint64_t> order_;
  /** Counts the times that an upstream was forgotten. */
  absl::flat_hash_map<UpstreamId, uint64_t> generations_;
  absl::flat_hash_map<UpstreamId, uint64_t> last_sequence_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_PREFIX_INDEX_H_
