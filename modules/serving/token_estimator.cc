#include "modules/serving/token_estimator.h"

#include <algorithm>
#include <cmath>

namespace chicory {

int64_t TokenEstimator::Estimate(const std::string& account,
                                 size_t bytes) const {
  absl::MutexLock lock(&mutex_);
  auto found = bytes_per_token_.find(account);
  const double ratio =
      found == bytes_per_token_.end() ? kInitialBytesPerToken : found->second;
  return std::max<int64_t>(
      1, static_cast<int64_t>(std::ceil(static_cast<double>(bytes) / ratio)));
}

void TokenEstimator::AddSample(const std::string& account,
                               size_t bytes,
                               int64_t tokens) {
  if (tokens <= 0 || bytes == 0)
    return;
  absl::MutexLock lock(&mutex_);
  if (bytes_per_token_.size() >= kMaxAccounts)
    bytes_per_token_.clear();
  double& ratio = bytes_per_token_.try_emplace(account, kInitialBytesPerToken)
                      .first->second;
  const double observed = std::clamp(
      static_cast<double>(bytes) / static_cast<double>(tokens), 1.0, 16.0);
  ratio += kSmoothingFactor * (observed - ratio);
}

}  // namespace chicory
