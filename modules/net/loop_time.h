#ifndef MODULES_NET_LOOP_TIME_H_
#define MODULES_NET_LOOP_TIME_H_

#include <chrono>

#include "absl/time/time.h"

namespace chicory {

/** Returns the current time of the monotonic clock as an absl::Time. Its epoch
    is arbitrary: compare it only with other values of this function. */
inline absl::Time SteadyNow() {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

/** Converts a value of SteadyNow() for use with steady timers. */
inline std::chrono::steady_clock::time_point ToSteady(absl::Time time) {
  return std::chrono::steady_clock::time_point(
      absl::ToChronoNanoseconds(time - absl::UnixEpoch()));
}

}  // namespace chicory

#endif  // MODULES_NET_LOOP_TIME_H_
