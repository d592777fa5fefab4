#ifndef MODULES_DECISIONS_LEASE_MANAGER_H_
#define MODULES_DECISIONS_LEASE_MANAGER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** The object that says who holds a lease. */
struct LeaseRecord {
  std::string holder;
  /** Grows with every change of holder. */
  uint64_t fence = 0;
  /** Grows with every renewal, so that a watcher sees that it lives. */
  uint64_t renewals = 0;

  std::string ToJson() const;
  static std::optional<LeaseRecord> FromJson(std::string_view text);
};

/** What the shell does next for a lease. */
enum class LeaseStep { kNothing, kRead, kWrite };

/** One action of LeaseManager. */
struct LeaseAction {
  LeaseStep step = LeaseStep::kNothing;
  LeaseRecord record;
  uint64_t expected_version = 0;
};

/** Holds or waits for one lease in the object API.

    No clock is compared between instances: a holder counts its time from
    before it sent the write that renewed the lease, and a successor takes over
    only after it has seen the same record unchanged for kTerm plus
    kTakeoverMargin on its own monotonic clock. A holder stops kStopBefore the
    end, so a holder that was paused finds its time over when it asks. Orders
    that were already sent are covered by the fence, or, for upstreams that do
    not check it, by the successor's margin, which outlasts the longest order.
    Not thread-safe. */
class LeaseManager {
 public:
  /** How long a renewal holds. */
  static constexpr absl::Duration kTerm = absl::Seconds(10);
  /** How long before the end the holder stops. */
  static constexpr absl::Duration kStopBefore = absl::Seconds(3);
  /** How long a successor waits beyond the term; the longest an order may be
      under way. */
  static constexpr absl::Duration kTakeoverMargin = absl::Seconds(5);
  /** How often the holder renews and others look. */
  static constexpr absl::Duration kPeriod = absl::Seconds(2);

  explicit LeaseManager(std::string instance)
      : instance_(std::move(instance)) {}

  /** What to do now; times are of the monotonic clock. */
  LeaseAction Tick(absl::Time now);

  /** A read ended; nothing when there is no record. */
  void OnRead(const std::optional<LeaseRecord>& record,
              uint64_t version,
              absl::Time now);

  /** A write ended; `code` is empty on success. */
  void OnWritten(std::optional<ErrorCode> code, uint64_t version);

  /** Gives the lease up at the next tick; for a planned stop. */
  void Release() { is_releasing_ = true; }

  /** Whether an order may be sent at `now`. Ask right before each order. */
  bool MayAct(absl::Time now) const;

  /** The fencing number for orders; meaningful only while MayAct. */
  uint64_t fence() const { return record_.fence; }

 private:
  std::string instance_;
  bool is_releasing_ = false;
  /** The record as last seen, its version, and since when it is unchanged. */
  LeaseRecord record_;
  uint64_t version_ = 0;
  absl::Time unchanged_since_ = absl::InfinitePast();
  bool is_known_ = false;
  /** The write under way: when it was sent and what it says. */
  absl::Time sent_at_ = absl::InfinitePast();
  LeaseRecord sent_;
  /** Until when this instance holds the lease. */
  absl::Time held_until_ = absl::InfinitePast();
  absl::Time next_step_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LEASE_MANAGER_H_
