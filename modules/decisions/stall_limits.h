#ifndef MODULES_DECISIONS_STALL_LIMITS_H_
#define MODULES_DECISIONS_STALL_LIMITS_H_

#include <algorithm>

#include "absl/time/time.h"
#include "modules/decisions/request_table.h"

namespace chicory {

/** How long an upstream may be silent before an attempt counts as stalled. */
struct StallLimits {
  /** Before the first token. */
  absl::Duration first;
  /** Between two tokens. */
  absl::Duration later;

  /** The least limit before the first token, and the limit between two. */
  static constexpr absl::Duration kLeastFirst = absl::Seconds(2);
  static constexpr absl::Duration kLater = absl::Seconds(3);

  /** Bounds of its length class that the first token may be late by. */
  static constexpr double kFirstBounds = 4;

  /** The limits of an attempt that starts at `now`; none exceeds the time that
      the request has left. */
  static StallLimits Of(const RequestSpec& spec, absl::Time now) {
    const absl::Duration left = spec.deadline - now;
    return {.first = std::min(
                left,
                std::max(kLeastFirst, kFirstBounds * spec.first_token_within)),
            .later = std::min(left, kLater)};
  }
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_STALL_LIMITS_H_
