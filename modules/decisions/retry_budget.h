#ifndef MODULES_DECISIONS_RETRY_BUDGET_H_
#define MODULES_DECISIONS_RETRY_BUDGET_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace chicory {

/** Holds retries to a share of first tries, per client account and per route.

    Each first try earns a share of a retry, each retry spends one; what can be
    saved up is bounded. The sum over all instances keeps the same share with
    no message between them. Not thread-safe. */
class RetryBudget {
 public:
  /** `share` is the number of retries that one first try earns. */
  explicit RetryBudget(double share) : share_(share) {}

  /** Changes the share from now on. */
  void set_share(double share) { share_ = share; }

  /** Takes note of a first try. */
  void Earn(const std::string& account, const std::string& route);

  /** Spends one retry of both budgets; false when either has none. */
  bool Spend(const std::string& account, const std::string& route);

  /** Retries saved up for `key`; for tests and the administration API. */
  double Saved(const std::string& key) const;

 private:
  /** Retries that a quiet account or route may save up. */
  static constexpr double kMaxSaved = 10;
  /** Retries that a new account or route starts with: enough for the streams
      that one upstream's death breaks at once. */
  static constexpr double kInitial = kMaxSaved;

  double& Slot(const std::string& key);

  double share_;
  absl::flat_hash_map<std::string, double> saved_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RETRY_BUDGET_H_
