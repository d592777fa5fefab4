#ifndef MODULES_DECISIONS_PENDING_CANCELLATIONS_H_
#define MODULES_DECISIONS_PENDING_CANCELLATIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace chicory {

/** Cancels that upstreams have not confirmed yet.

    A cancel is repeated with growing pauses until the upstream confirms it or
    kGiveUpAfter has passed, after which the sweep of orphans takes over.
    Not thread-safe. */
class PendingCancellations {
 public:
  /** How long one cancel is repeated. */
  static constexpr absl::Duration kGiveUpAfter = absl::Minutes(2);

  /** One cancel to send. */
  struct Cancellation {
    std::string upstream;
    std::string attempt;
  };

  /** Owes a cancel of `attempt` to `upstream`, due at once. */
  void Add(const std::string& upstream,
           const std::string& attempt,
           absl::Time now);

  /** The upstream confirmed. */
  void Confirm(const std::string& upstream, const std::string& attempt);

  /** Cancels due now; each comes back later unless it is settled. */
  std::vector<Cancellation> Due(absl::Time now);

  /** Cancels owed. */
  size_t size() const { return debts_.size(); }

 private:
  static constexpr absl::Duration kFirstPause = absl::Milliseconds(100);
  static constexpr absl::Duration kLongestPause = absl::Seconds(10);

  struct State {
    absl::Time since;
    absl::Time due;
    absl::Duration pause = kFirstPause;
  };

  std::map<std::pair<std::string, std::string>, State> debts_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_PENDING_CANCELLATIONS_H_
