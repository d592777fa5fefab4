#ifndef MODULES_DECISIONS_LEASE_MANAGER_H_
#define MODULES_DECISIONS_LEASE_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** The content of a lease object in the object API. */
struct LeaseRecord {
  /** Name of the holding instance; empty while the lease is free. */
  std::string holder;
  /** Fencing token; grows each time an instance acquires the lease. */
  uint64_t fence = 0;
  /** Grows with every renewal, so that other instances see that the holder is
      alive. */
  uint64_t renewals = 0;

  /** Returns the record in the form in which it is stored. */
  std::string ToJson() const;
  /** Returns nothing if `text` is not a valid record. */
  static std::optional<LeaseRecord> FromJson(std::string_view text);
};

/** Operation on the lease object that LeaseManager asks its owner for. */
enum class LeaseStep { kNothing, kRead, kWrite };

/** The next operation on the lease object. `record` and `expected_version` are
    set for kWrite: the write must fail with kConflict if the object has another
    version. */
struct LeaseAction {
  LeaseStep step = LeaseStep::kNothing;
  LeaseRecord record;
  uint64_t expected_version = 0;
};

/** State machine that acquires, renews and releases one lease, which is stored
    in the object API.

    Use it where a task must have one executor among all instances. No clocks
    are compared between instances. A holder counts the term from before it sent
    the write that renewed the lease; another instance takes over only after it
    has seen the record unchanged for kTerm plus kTakeoverMargin on its own
    monotonic clock. The holder stops kSafetyMargin before the end of the term,
    so that an instance that was paused finds its lease expired when it checks.
    Commands that were already sent are covered by the fencing token or, for
    upstreams that do not check it, by kTakeoverMargin, which exceeds the time
    that a command can be in transit.

    The class does no I/O: the owner executes the actions and reports their
    results. Not thread-safe. */
class LeaseManager {
 public:
  /** Validity of the lease after a renewal. */
  static constexpr absl::Duration kTerm = absl::Seconds(10);
  /** Time before the end of the term at which the holder stops acting. */
  static constexpr absl::Duration kSafetyMargin = absl::Seconds(3);
  /** Time that a successor waits beyond the term; the longest time that a
      command may be in transit. */
  static constexpr absl::Duration kTakeoverMargin = absl::Seconds(5);
  /** Interval at which the holder renews the lease and others read it. */
  static constexpr absl::Duration kRenewalPeriod = absl::Seconds(2);

  explicit LeaseManager(std::string instance)
      : instance_(std::move(instance)) {}

  /** Returns the operation to execute now; call it periodically, at least once
      per kRenewalPeriod. All times passed to this class are of the monotonic
      clock. */
  LeaseAction Tick(absl::Time now);

  /** Called when a read succeeded; `record` is empty if there is no object. */
  void OnRead(const std::optional<LeaseRecord>& record,
              uint64_t version,
              absl::Time now);

  /** Called when a write ended; `code` is empty on success. After a failure the
      record is read again, since the write may have taken effect. */
  void OnWritten(std::optional<ErrorCode> code, uint64_t version);

  /** Stops acting at once and frees the lease with the next Tick; for a planned
      stop. */
  void Release() { is_releasing_ = true; }

  /** Returns true if this instance may act as the holder at `now`. Call it
      immediately before each command. */
  bool HoldsLease(absl::Time now) const;

  /** Returns the fencing token for commands; valid only while HoldsLease. */
  uint64_t fence() const { return record_.fence; }

 private:
  std::string instance_;
  bool is_releasing_ = false;
  /** The record as last read or written, its version, and the time since which
      it is unchanged. */
  LeaseRecord record_;
  uint64_t version_ = 0;
  absl::Time unchanged_since_ = absl::InfinitePast();
  bool is_record_known_ = false;
  /** The last write: when it was sent, and its content. */
  absl::Time write_sent_at_ = absl::InfinitePast();
  LeaseRecord written_record_;
  /** End of the term that this instance holds. */
  absl::Time held_until_ = absl::InfinitePast();
  absl::Time next_step_at_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LEASE_MANAGER_H_
