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

/** Authenticates callers by API key and enforces the rate limits of their
    client accounts.

    The limits hold over all instances: this class wraps AccountLimits with a
    lock and the current time, and its owner supplies the live instances and the
    messages that they exchange. Admit() never waits for another instance.
    Thread-safe.
    @see AccountLimits */
class AccountRateLimiter {
 public:
  /** `instance` is the name of this instance. */
  explicit AccountRateLimiter(const std::string& instance)
      : limits_(instance) {}

  /** Returns the client account that the value of an Authorization header,
      `Bearer NAME.SECRET`, belongs to, or null if the key is missing or wrong.
      The result lives as long as `configuration`. The key's hash is compared
      in constant time. */
  static const ClientAccount* Authenticate(const Configuration& configuration,
                                           std::string_view authorization);

  /** Charges one request of `tokens` to the account's share of its rate.
      Returns false if the share is used up and sets `retry_after` to the time
      after which the caller should retry. */
  bool Admit(const ClientAccount& account,
             double tokens,
             absl::Duration* retry_after);

  /** Refunds tokens that were charged by Admit but not used. */
  void Refund(const ClientAccount& account, double tokens);

  /** Sets the live instances, including this one. They determine the owner of
      each account. */
  void SetMembers(std::vector<std::string> members);

  /** Returns the demands to report to the owners of the accounts, by owner.
      @see AccountLimits::TakeDemands */
  std::map<std::string, std::vector<AccountDemand>> TakeDemands();

  /** Called on the owner of accounts when the instance `from` reports its
      demands. Returns a grant for each demand whose account `configuration`
      contains. */
  std::vector<AccountGrant> OnDemands(const std::string& from,
                                      const std::vector<AccountDemand>& demands,
                                      const Configuration& configuration);

  /** Called when the owner of accounts has granted shares of their rates. */
  void OnGrants(const std::vector<AccountGrant>& grants);

 private:
  absl::Mutex mutex_;
  AccountLimits limits_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_SERVING_ACCOUNT_RATE_LIMITER_H_
