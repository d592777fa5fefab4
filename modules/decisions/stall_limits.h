#ifndef MODULES_DECISIONS_STALL_LIMITS_H_
#define MODULES_DECISIONS_STALL_LIMITS_H_

#include <algorithm>

#include "absl/time/time.h"
#include "modules/decisions/request_table.h"

namespace chicory {

/** Time-outs after which an attempt without progress counts as stalled. */
struct StallLimits {
  /** Maximum time to the first token. */
  absl::Duration first;
  /** Maximum time between two tokens. */
  absl::Duration later;

  /** Lower bound of `first`. */
  static constexpr absl::Duration kMinFirstToken = absl::Seconds(2);
  /** Value of `later`, unless the deadline is earlier. */
  static constexpr absl::Duration kTokenGap = absl::Seconds(3);

  /** Multiple of the first-token bound of its length class after which an
      attempt without a token counts as stalled. */
  static constexpr double kFirstTokenBoundFactor = 4;

  /** Returns the limits of an attempt that starts at `now`. Neither exceeds the
      time left until the deadline of the request. */
  static StallLimits Of(const RequestSpec& spec, absl::Time now) {
    const absl::Duration remaining = spec.deadline - now;
    return {.first = std::min(remaining, std::max(kMinFirstToken,
                                                  kFirstTokenBoundFactor *
                                                      spec.first_token_within)),
            .later = std::min(remaining, kTokenGap)};
  }
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_STALL_LIMITS_H_
