#ifndef MODULES_CORE_COUNTERS_H_
#define MODULES_CORE_COUNTERS_H_

#include <map>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"

namespace chicory {

/** A registry of counters and gauges, exported in the Prometheus text format.

    The number of series is limited to kMaxSeries. Once the limit is reached,
    updates of a new series are applied to `chicory_series_dropped_total`
    instead. Thread-safe. */
class Counters {
 public:
  /** Increments a counter. `series` is the metric name including its labels,
      such as `chicory_requests_total{class="short"}`. */
  void Add(std::string_view series, double amount = 1);

  /** Sets a gauge to `value`. */
  void Set(std::string_view series, double value);

  /** Returns the current value of a series, or 0 if the series is unknown. */
  double Value(std::string_view series) const;

  /** Returns all series in the text format, one per line, sorted by name. */
  std::string Exposition() const;

 private:
  static constexpr size_t kMaxSeries = 4096;

  /** Returns the value that updates of `series` apply to; never null. */
  double* FindOrAddSeries(std::string_view series)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  std::map<std::string, double, std::less<>> values_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_CORE_COUNTERS_H_
