#ifndef MODULES_CORE_COUNTERS_H_
#define MODULES_CORE_COUNTERS_H_

#include <map>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"

namespace chicory {

/** Named totals and gauges in the common text exposition format.

    The number of series is bounded: past it a new series is counted under
    `chicory_series_dropped_total` instead. Thread-safe. */
class Counters {
 public:
  /** Adds to a total. `series` is the name with its labels, such as
      `chicory_requests_total{class="short"}`. */
  void Add(std::string_view series, double amount = 1);

  /** Sets a gauge. */
  void Set(std::string_view series, double value);

  /** The present value; 0 for an unknown series. */
  double Value(std::string_view series) const;

  /** All series, one a line, sorted. */
  std::string Exposition() const;

 private:
  static constexpr size_t kMaxSeries = 4096;

  double* Slot(std::string_view series) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::string, double, std::less<>> values_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_CORE_COUNTERS_H_
