#ifndef MODULES_DECISIONS_RETRY_WINDOW_H_
#define MODULES_DECISIONS_RETRY_WINDOW_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** A retry budget that keeps the retries of all instances to a service within
    `ratio * requests + slack` over any window, without messages between the
    instances.

    Each instance may use `ratio` of its own requests and an equal share of the
    slack, both reduced by kMargin. Since an instance does not know what it used
    before a restart, its share of the slack grows from none over its first
    kWindowsToFullShare windows. A retry counts when it is sent; until then it
   is reserved.

    docs/INVARIANTS.md has the proof and what it assumes. Not thread-safe. */
class RetryWindow {
 public:
  struct Options {
    /** Retries allowed per request. */
    double ratio = 0;
    /** Retries allowed per window in addition, over all instances. */
    double slack = 0;
    absl::Duration window = absl::Seconds(10);
    /** Start of this instance. */
    absl::Time started = absl::InfinitePast();
  };

  /** Number of instances that share the slack, this one included; nullopt if it
      is not known, in which case this instance uses none of the slack. */
  using InstanceCount = std::optional<size_t>;

  explicit RetryWindow(Options options) : options_(options) {}

  /** Counts a request for `service`. */
  void OnRequest(const std::string& service, absl::Time now);
  /** Reserves a retry that will be sent later. Returns false if the budget is
      used up. */
  bool Reserve(const std::string& service,
               InstanceCount instances,
               absl::Time now);
  /** Ends a reservation. */
  void Release(const std::string& service);
  /** Counts a retry that is sent now. Returns false, without any change, if the
      budget is used up. Reservations do not count. */
  bool Spend(const std::string& service,
             InstanceCount instances,
             absl::Time now);
  /** Undoes the Spend() of `spent_at`, as nothing was sent. */
  void Refund(const std::string& service, absl::Time spent_at);
  /** Returns the number of retries in the current window. */
  size_t Spent(const std::string& service, absl::Time now);

  /** What a decision on a retry is based on. */
  struct Budget {
    /** Requests and retries of this instance within the window. */
    size_t requests = 0;
    size_t retries = 0;
    /** Retries that wait until they are sent. */
    size_t reserved = 0;
    /** Number of retries that this instance may use in the window. */
    double allowed = 0;
  };
  Budget BudgetOf(const std::string& service,
                  InstanceCount instances,
                  absl::Time now);

 private:
  /** Share of the bound that is used. */
  static constexpr double kMargin = 0.5;
  /** Windows after its start in which an instance's share of the slack grows.
   */
  static constexpr double kWindowsToFullShare = 2;

  struct Row {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> retries;
    size_t reserved = 0;
  };

  /** Returns the row of `service` after dropping what is older than the
      window. */
  Row& CurrentRow(const std::string& service, absl::Time now);
  /** Returns the share of the slack that one of `instances` may use now. */
  double ShareOfSlack(InstanceCount instances, absl::Time now) const;

  Options options_;
  absl::flat_hash_map<std::string, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RETRY_WINDOW_H_
