#ifndef MODULES_DECISIONS_TRANSFER_LIMIT_H_
#define MODULES_DECISIONS_TRANSFER_LIMIT_H_

#include <algorithm>
#include <cstddef>

#include "absl/time/time.h"

namespace chicory {

/** Bounds the transfers of bulk data to others, in number at once and in bytes
    per second.

    Addresses many instances that start at once and fetch from one that is
    small and has requests to serve. A transfer may exceed what is left of the
    rate, whose excess is then waited for, so that any size gets through. Reads
    no clock: callers pass the time. Not thread-safe. */
class TransferLimit {
 public:
  struct Options {
    size_t max_transfers = 1;
    double bytes_per_second = 0;
  };

  explicit TransferLimit(Options options)
      : options_(options), budget_(options.bytes_per_second) {}

  /** Returns whether a transfer of `bytes` may start now; if so, End() must
      follow. */
  bool Begin(size_t bytes, absl::Time now) {
    if (updated_ != absl::InfinitePast())
      budget_ +=
          options_.bytes_per_second * absl::ToDoubleSeconds(now - updated_);
    budget_ = std::min(budget_, options_.bytes_per_second);
    updated_ = now;
    if (transfers_ >= options_.max_transfers || budget_ <= 0)
      return false;
    budget_ -= static_cast<double>(bytes);
    ++transfers_;
    return true;
  }
  void End() { --transfers_; }

 private:
  const Options options_;
  /** Bytes that may be sent now: at most those of a second. */
  double budget_;
  absl::Time updated_ = absl::InfinitePast();
  size_t transfers_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_TRANSFER_LIMIT_H_
