#ifndef MODULES_ROUTING_UPSTREAM_CHANGE_LOG_H_
#define MODULES_ROUTING_UPSTREAM_CHANGE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "modules/routing/routing_table.h"

namespace chicory {

/** A change of one upstream registration: added, updated or removed. */
struct UpstreamChange {
  UpstreamRecord record;
  bool removed = false;
  /** Time left until UpstreamRecord::cold_until when the change was sent to
      another instance. */
  absl::Duration cold_for = absl::ZeroDuration();
};

/** All upstream changes after revision `from`, up to and including `to`. */
struct UpstreamBatch {
  uint64_t from = 0;
  uint64_t to = 0;
  /** Revision of the latest change in the batch. */
  uint64_t last_change = 0;
  /** The source was unavailable before, so registrations may have expired
      although their upstreams still run. */
  bool after_outage = false;
  std::vector<UpstreamChange> changes;
  /** Index and number of parts when a batch is sent in several messages. */
  uint32_t part = 0;
  uint32_t parts = 1;
};

/** Splits a batch into parts of at most `max_changes` changes. Returns no part
    for a batch without changes. */
std::vector<UpstreamBatch> SplitBatch(const UpstreamBatch& batch,
                                      size_t max_changes);

/** Reassembles a batch from its parts. Parts may arrive in any order and more
    than once; a part of another batch discards an incomplete one. Not
    thread-safe. */
class BatchAssembler {
 public:
  /** Adds a part. Returns the complete batch with its last missing part;
      nullopt before that or if the part is invalid. */
  std::optional<UpstreamBatch> Add(const UpstreamBatch& part);

 private:
  std::map<uint32_t, UpstreamBatch> parts_;
};

/** Bounded log of the latest upstream changes, from which instances that do not
    watch the source are sent the changes they are missing.

    Revisions are assigned by the source and therefore comparable between
    instances. Applying a batch that overlaps known changes is harmless. Not
    thread-safe. */
class UpstreamChangeLog {
 public:
  /** Capacity in batches; the oldest are discarded. */
  static constexpr size_t kMaxBatches = 32;
  /** Maximum number of changes returned by Since. */
  static constexpr size_t kMaxChangesPerReply = 60;

  /** Restarts the log at a complete list of upstreams as of `revision`. Returns
      false, and changes nothing, if a later revision is known. */
  bool OnListed(uint64_t revision);
  /** Appends a batch. Returns false if it leaves a gap after the known
      revisions or contains no later revision. */
  bool Add(const UpstreamBatch& batch);
  /** Returns consecutive batches that follow `revision`, with at most
      kMaxChangesPerReply changes in total. Empty when the log does not reach
      back to `revision`, or when the first of them alone exceeds it. */
  std::vector<UpstreamBatch> Since(uint64_t revision) const;

  /** Revision up to which every change is known. */
  uint64_t complete_until() const { return complete_until_; }
  /** Revision from which on every change is in the log, or was. */
  uint64_t begin() const { return base_; }
  /** Revision of the latest known change. */
  uint64_t last_change() const { return last_change_; }

 private:
  uint64_t complete_until_ = 0;
  uint64_t last_change_ = 0;
  /** Revision of the last complete list. */
  uint64_t base_ = 0;
  std::deque<UpstreamBatch> batches_;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_UPSTREAM_CHANGE_LOG_H_
