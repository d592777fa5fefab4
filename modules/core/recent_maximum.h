#ifndef MODULES_CORE_RECENT_MAXIMUM_H_
#define MODULES_CORE_RECENT_MAXIMUM_H_

#include <deque>

#include "absl/time/time.h"

namespace chicory {

/** The largest of the values that were added within a span of time. Not
    thread-safe. */
template <typename Value>
class RecentMaximum {
 public:
  explicit RecentMaximum(absl::Duration span) : span_(span) {}

  /** Adds `value`; times never decrease from one call to the next. */
  void Add(Value value, absl::Time now) {
    while (!rows_.empty() && rows_.back().value <= value)
      rows_.pop_back();
    rows_.push_back({.value = value, .added_at = now});
    while (now - rows_.front().added_at > span_)
      rows_.pop_front();
  }
  /** Returns the largest value as of the last call of Add(); a default value
      before the first. */
  Value Largest() const {
    return rows_.empty() ? Value{} : rows_.front().value;
  }

 private:
  struct Row {
    Value value;
    absl::Time added_at;
  };

  absl::Duration span_;
  /** In the order of time; each value is smaller than the one before. */
  std::deque<Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_CORE_RECENT_MAXIMUM_H_
