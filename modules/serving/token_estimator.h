#ifndef MODULES_SERVING_TOKEN_ESTIMATOR_H_
#define MODULES_SERVING_TOKEN_ESTIMATOR_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace chicory {

/** Estimates the number of tokens of a prompt from its size in bytes.

    Keeps a moving average of bytes per token for each client account, updated
    from the token counts that engines report. Thread-safe. */
class TokenEstimator {
 public:
  /** Returns the estimated number of tokens of a prompt of `bytes` bytes; at
      least 1. */
  int64_t Estimate(const std::string& account, size_t bytes) const;

  /** Updates the ratio of `account` after an engine counted `tokens` tokens in
      a prompt of `bytes` bytes. Has no effect if either is zero. */
  void AddSample(const std::string& account, size_t bytes, int64_t tokens);

 private:
  /** Ratio assumed for an account without samples. */
  static constexpr double kInitialBytesPerToken = 4.0;
  /** Weight of the newest sample in the moving average. */
  static constexpr double kSmoothingFactor = 0.1;
  /** Maximum number of accounts; once it is reached, all ratios are reset. */
  static constexpr size_t kMaxAccounts = 20000;

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, double> bytes_per_token_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_SERVING_TOKEN_ESTIMATOR_H_
