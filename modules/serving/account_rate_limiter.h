#ifndef MODULES_SERVING_ACCOUNT_RATE_LIMITER_H_
#define MODULES_SERVING_ACCOUNT_RATE_LIMITER_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/config/configuration.h"
#include "modules/decisions/account_limits.h"

namespace chicory {

/** Knows callers by their keys and holds their accounts to their limits.
    Thread-safe. */
class AccountRateLimiter {
 public:
  explicit AccountRateLimiter(const std::string& instance)
      : limits_(instance) {}

  /** The account that `authorization` (`Bearer NAME.SECRET`) belongs to; null
      when the key is missing or wrong. Compares in constant time. */
  static const ClientAccount* Authenticate(const Configuration& configuration,
                                           std::string_view authorization);

  /** Takes a request of `tokens` from the account; on refusal says when to
      come back. */
  bool Admit(const ClientAccount& account,
             double tokens,
             absl::Duration* retry_after);

  /** Gives back what was admitted and not used, in tokens. */
  void Refund(const ClientAccount& account, double tokens);

  /** Live instances, this one among them. */
  void SetMembers(std::vector<std::string> members);

  /** @see AccountLimits::TakeDemands */
  std::map<std::string, std::vector<AccountDemand>> TakeDemands();

  /** As owner: answers demands by the rates of `configuration`. */
  std::vector<AccountGrant> OnDemands(const std::string& from,
                                      const std::vector<AccountDemand>& demands,
                                      const Configuration& configuration);

  /** Takes over grants of owners. */
  void OnGrants(const std::vector<AccountGrant>& grants);

 private:
  absl::Mutex mutex_;
  AccountLimits limits_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_SERVING_ACCOUNT_RATE_LIMITER_H_
