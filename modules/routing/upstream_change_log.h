#ifndef MODULES_ROUTING_UPSTREAM_CHANGE_LOG_H_
#define MODULES_ROUTING_UPSTREAM_CHANGE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "modules/routing/routing_table.h"

namespace chicory {

/** One changed registration of an upstream. */
struct UpstreamChange {
  UpstreamRecord record;
  bool removed = false;
};

/** All changes after the revision `from` up to and with `to`. */
struct UpstreamBatch {
  uint64_t from = 0;
  uint64_t to = 0;
  /** The revision of the last of the changes. */
  uint64_t last_change = 0;
  /** The source was away before; registrations may have lapsed meanwhile. */
  bool after_outage = false;
  std::vector<UpstreamChange> changes;
  /** Which of how many parts this is, for a batch that travels in several. */
  uint32_t part = 0;
  uint32_t parts = 1;
};

/** Cuts a batch into parts with at most `most` changes each. */
std::vector<UpstreamBatch> SplitBatch(const UpstreamBatch& batch, size_t most);

/** Puts the parts of a batch together again. Parts may come in any order and
    more than once; those of another batch push the former out. Not
    thread-safe. */
class BatchAssembler {
 public:
  /** The whole batch once its last missing part has come. */
  std::optional<UpstreamBatch> Add(const UpstreamBatch& part);

 private:
  std::map<uint32_t, UpstreamBatch> parts_;
};

/** Latest changes of the upstreams, kept so that an instance which does not
    watch the source can be sent what it is missing.

    Revisions are the source's, so that instances can compare theirs. Replaying
    a batch that overlaps what is known does no harm. Not thread-safe. */
class UpstreamChangeLog {
 public:
  /** Batches that are kept. */
  static constexpr size_t kMaxBatches = 32;
  /** More changes than these are not sent at once. */
  static constexpr size_t kMaxChangesTold = 60;

  /** All upstreams were read as of `revision`; false when more is known. */
  bool OnListed(uint64_t revision);
  /** Takes over a batch that joins on to what is known; false when it does
      not, or says nothing new. */
  bool Add(const UpstreamBatch& batch);
  /** The batches that lead from `revision` on, within kMaxChangesTold changes;
      none when what is kept does not reach back so far. */
  std::vector<UpstreamBatch> Since(uint64_t revision) const;

  /** Every change up to this revision is known. */
  uint64_t complete_until() const { return complete_until_; }
  /** Revision of the last change that is known. */
  uint64_t last_change() const { return last_change_; }

 private:
  uint64_t complete_until_ = 0;
  uint64_t last_change_ = 0;
  /** Where the kept batches begin. */
  uint64_t base_ = 0;
  std::deque<UpstreamBatch> batches_;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_UPSTREAM_CHANGE_LOG_H_
