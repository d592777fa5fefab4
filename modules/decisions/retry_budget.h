#ifndef MODULES_DECISIONS_RETRY_BUDGET_H_
#define MODULES_DECISIONS_RETRY_BUDGET_H_

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

namespace chicory {

/** Limits retries to a ratio of first attempts, per client account and per
    route.

    Each first attempt deposits a fraction of a retry, each retry withdraws one;
    the balance is bounded. Because every instance keeps the ratio, their sum
    does so too, without communication. Not thread-safe. */
class RetryBudget {
 public:
  /** `ratio` is the number of retries that one first attempt deposits. */
  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  /** Sets the ratio for first attempts from now on. */
  void set_ratio(double ratio) { ratio_ = ratio; }

  /** Called for each first attempt. */
  void Deposit(const std::string& account, const std::string& route);

  /** Withdraws one retry from the budgets of both account and route.
      @returns false, without any change, when either balance is below one */
  bool TryWithdraw(const std::string& account, const std::string& route);

  /** Returns the number of retries available for `key`, which is
      "account/" or "route/" followed by the name of the account or route. */
  double Balance(const std::string& key) const;

 private:
  /** Maximum balance of an account or route, in retries. */
  static constexpr double kMaxBalance = 10;
  /** Balance of a new account or route: enough to retry the streams that the
      death of one upstream interrupts at the same time. */
  static constexpr double kInitialBalance = kMaxBalance;

  double& MutableBalance(const std::string& key);

  double ratio_;
  absl::flat_hash_map<std::string, double> balances_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_RETRY_BUDGET_H_
