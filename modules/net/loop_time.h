#ifndef MODULES_NET_LOOP_TIME_H_
#define MODULES_NET_LOOP_TIME_H_

#include <chrono>

#include "absl/time/time.h"

namespace chicory {

/** Time of the steady clock, counted from an arbitrary start. */
inline absl::Time SteadyNow() {
  return absl::UnixEpoch() +
         absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

/** The steady clock's point at `time`. */
inline std::chrono::steady_clock::time_point ToSteady(absl::Time time) {
  return std::chrono::steady_clock::time_point(
      absl::ToChronoNanoseconds(time - absl::UnixEpoch()));
}

}  // namespace chicory

#endif  // MODULES_NET_LOOP_TIME_H_
