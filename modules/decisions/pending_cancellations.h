#ifndef MODULES_DECISIONS_PENDING_CANCELLATIONS_H_
#define MODULES_DECISIONS_PENDING_CANCELLATIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace chicory {

/** The cancellations of attempts that upstreams have not confirmed yet.

    Each is retried with exponential backoff until the upstream confirms it or
    kRetryPeriod has passed; after that, the orphan sweep frees the attempt.
    Not thread-safe. @see OrphanCollector */
class PendingCancellations {
 public:
  /** Time for which a cancellation is retried. */
  static constexpr absl::Duration kRetryPeriod = absl::Minutes(2);

  /** A cancellation to send: of an attempt, to an upstream. */
  struct Cancellation {
    std::string upstream;
    std::string attempt;
  };

  /** Adds a cancellation of `attempt` at `upstream`, due immediately. */
  void Add(const std::string& upstream,
           const std::string& attempt,
           absl::Time now);

  /** Removes a cancellation that the upstream confirmed. */
  void Confirm(const std::string& upstream, const std::string& attempt);

  /** Returns the cancellations to send now, and schedules the next retry of
      each. */
  std::vector<Cancellation> Due(absl::Time now);

  /** Returns the number of pending cancellations. */
  size_t size() const { return pending_.size(); }

 private:
  static constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(100);
  static constexpr absl::Duration kMaxRetryDelay = absl::Seconds(10);

  struct State {
    absl::Time added_at;
    absl::Time due;
    absl::Duration retry_delay = kInitialRetryDelay;
  };

  std::map<std::pair<std::string, std::string>, State> pending_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_PENDING_CANCELLATIONS_H_
