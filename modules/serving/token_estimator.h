#ifndef MODULES_SERVING_TOKEN_ESTIMATOR_H_
#define MODULES_SERVING_TOKEN_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace chicory {

/** Estimates a prompt's tokens from its bytes. The ratio is learned per client
    account from the counts that engines report. Thread-safe. */
class TokenEstimator {
 public:
  /** Tokens of a prompt of `bytes`; at least 1. */
  int64_t Estimate(const std::string& account, size_t bytes) const;

  /** An engine counted `tokens` in a prompt of `bytes`. */
  void Learn(const std::string& account, size_t bytes, int64_t tokens);

 private:
  /** Until something is learned. */
  static constexpr double kBytesPerToken = 4.0;
  /** Weight of the newest prompt. */
  static constexpr double kSmoothing = 0.1;
  static constexpr size_t kMaxAccounts = 20000;

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, double> bytes_per_token_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_SERVING_TOKEN_ESTIMATOR_H_
