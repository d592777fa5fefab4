#ifndef MODULES_DECISIONS_SOURCE_RETRY_H_
#define MODULES_DECISIONS_SOURCE_RETRY_H_

#include <algorithm>

#include "absl/time/time.h"

namespace chicory {

/** Decides how long an instance waits for a response of the source, and when it
    calls again after a failed call.

    Addresses many instances that start together while the source is silent:
    with equal time limits all of them would wait for calls that are lost, and
    none would notice the return of the source. Until the first success the time
    limits therefore differ; what a call does not wait is added to the pauses,
    on average, so that the source does not get more calls. */
class SourceRetry {
 public:
  static constexpr absl::Duration kMaxTimeout = absl::Seconds(2);
  /** Shortest time limit, as a share of the longest. A source that is slower
      than this is read by the instances with longer limits. */
  static constexpr double kMinTimeoutShare = 0.3;
  static constexpr absl::Duration kInitialBackoff = absl::Milliseconds(150);
  static constexpr absl::Duration kMaxBackoff = absl::Milliseconds(1200);

  /** Returns the time limit of the next call. Here and below, `point`, in
      [0, 1), selects within the spread of the instances. */
  absl::Duration TakeTimeout(double point) {
    if (!has_succeeded_)
      timeout_ =
          kMaxTimeout * (kMinTimeoutShare + (1 - kMinTimeoutShare) * point);
    return timeout_;
  }
  /** Returns the time until the next call, after one that has failed and taken
      `took`. */
  absl::Duration TakeDelay(absl::Duration took, double point) {
    const absl::Duration unspent =
        took < timeout_ ? absl::ZeroDuration() : kMaxTimeout - timeout_;
    const absl::Duration delay =
        backoff_ * (0.5 + point) + unspent * (2 * point);
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
    return delay;
  }
  void OnSuccess() {
    has_succeeded_ = true;
    timeout_ = kMaxTimeout;
    backoff_ = kInitialBackoff;
  }

 private:
  bool has_succeeded_ = false;
  absl::Duration timeout_ = kMaxTimeout;
  absl::Duration backoff_ = kInitialBackoff;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_SOURCE_RETRY_H_
