#ifndef MODULES_DECISIONS_RETRY_WINDOW_H_
#define MODULES_DECISIONS_RETRY_WINDOW_H_

#include <cstddef>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** Holds the repeated sends of all instances to a service within
    `ratio * requests + slack` in any window, with no message between them.

    Each instance may use `ratio` of its own requests and an equal part of the
    slack. Both are cut by kMargin, which covers instances that came or went
    within the window. Not thread-safe. */
class RetryWindow {
 public:
  struct Options {
    double ratio = 0;
    double slack = 0;
    absl::Duration window = absl::Seconds(10);
  };

  explicit RetryWindow(Options options) : options_(options) {}

  /** Takes note of a request for `service`. */
  void OnRequest(const std::string& service, absl::Time now);
  /** Spends one repeated send if the budget has one. `instances` is the number
      of live instances, this one included. */
  bool Spend(const std::string& service, size_t instances, absl::Time now);
  /** Repeated sends in the present window. */
  size_t Spent(const std::string& service, absl::Time now);

 private:
  /** Part of the bound that is used. */
  static constexpr double kMargin = 0.6;

  struct Row {
    std::deque<absl::Time> requests;
    std::deque<absl::Time> repeats;
  };

  Row& Current(const std::string& service, absl::Time now);

  Options options_;
  absl::flat_hash_map<std::string, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RETRY_WINDOW_H_
