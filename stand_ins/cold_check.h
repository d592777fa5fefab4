#ifndef STAND_INS_COLD_CHECK_H_
#define STAND_INS_COLD_CHECK_H_

#include <algorithm>
#include <deque>

#include "absl/time/time.h"

namespace chicory {

/** Counts the requests that an upstream gets in any second while it is cold. */
class ColdCheck {
 public:
  static constexpr absl::Duration kWindow = absl::Seconds(1);

  /** Begins a period for which the upstream is cold, and counts anew. */
  void Begin(absl::Time now, absl::Duration length) {
    *this = {};
    cold_until_ = now + length;
  }
  void OnRequest(absl::Time now) {
    if (now >= cold_until_)
      return;
    ++requests_;
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - kWindow)
      arrivals_.pop_front();
    worst_ = std::max(worst_, static_cast<int>(arrivals_.size()));
  }

  /** Most requests in any second of the period. */
  int worst() const { return worst_; }
  /** All requests in the period. */
  int requests() const { return requests_; }

 private:
  absl::Time cold_until_ = absl::InfinitePast();
  std::deque<absl::Time> arrivals_;
  int worst_ = 0;
  int requests_ = 0;
};

}  // namespace chicory

#endif  // STAND_INS_COLD_CHECK_H_
