#ifndef MODULES_DECISIONS_ACCOUNT_LIMITS_H_
#define MODULES_DECISIONS_ACCOUNT_LIMITS_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** Rates of requests and tokens. */
struct AccountRate {
  double requests_per_second = 0;
  double tokens_per_second = 0;
};

/** The load of one account that arrived at one instance in the last period,
    refused requests included. */
struct AccountDemand {
  std::string account;
  AccountRate offered;
};

/** The share of an account's rate that its owner grants to one instance. */
struct AccountGrant {
  std::string account;
  AccountRate share;
  absl::Duration valid_for = absl::ZeroDuration();
};

/** Enforces the rate limits of client accounts over all instances.

    Each account has one owner among the live instances, chosen by rendezvous
    hashing. An instance that receives requests of an account reports its demand
    to the owner once per period; the owner grants shares of the rate in
    proportion to demand, each valid for kGrantValidity. Requests are admitted
    from a local token bucket that is filled at the granted share. Without a
    valid grant an instance admits an equal part of the rate, so that the loss
    of an owner neither blocks the account nor lifts its limit. Admission never
    waits for a message.

    Bounds of overshoot: the grants of one owner sum to at most kGrantedFraction
    of the rate. When the owner changes, grants of the old and the new owner
    overlap for at most kGrantValidity. During a network partition each side has
    its own owner, so the bound is the rate times the number of sides.
    Not thread-safe. */
class AccountLimits {
 public:
  /** Interval at which demand is reported to owners. */
  static constexpr absl::Duration kPeriod = absl::Seconds(1);
  /** Validity of a grant. */
  static constexpr absl::Duration kGrantValidity = absl::Seconds(3);
  /** Fraction of a rate that an owner grants; the rest is for instances that
      have no grant yet. */
  static constexpr double kGrantedFraction = 0.9;
  /** Capacity of the token buckets, in seconds of the share. */
  static constexpr double kBurstSeconds = 1;

  explicit AccountLimits(std::string instance)
      : instance_(std::move(instance)) {}

  /** Sets the live instances, this one included. They determine the owners of
      accounts and the equal parts of a rate. */
  void SetMembers(std::vector<std::string> members);

  /** Admits one request of `tokens` against the account's share. Returns false
      if it is refused, and sets `retry_after` to the time until the bucket
      allows another request. */
  bool Admit(const std::string& account,
             const AccountRate& rate,
             double tokens,
             absl::Time now,
             absl::Duration* retry_after);

  /** Returns tokens to the bucket that were admitted but not used. */
  void Refund(const std::string& account, double tokens);

  /** Returns the demands to report, by owner; those of accounts that this
      instance owns are granted directly. Call once per kPeriod. */
  std::map<std::string, std::vector<AccountDemand>> TakeDemands(absl::Time now);

  /** Called on the owner of an account with the demand of instance `from`.
      Returns the grant for that instance. */
  AccountGrant OnDemand(const std::string& from,
                        const AccountDemand& demand,
                        const AccountRate& rate,
                        absl::Time now);

  /** Applies a grant that an owner returned. */
  void OnGrant(const AccountGrant& grant, absl::Time now);

  /** Returns the number of accounts that were recently active on this
      instance. */
  size_t active() const { return active_accounts_.size(); }
  /** Returns the number of accounts that this instance owns. */
  size_t owned() const { return owned_accounts_.size(); }

 private:
  struct ActiveAccount {
    AccountRate rate;
    AccountRate share;
    absl::Time granted_until = absl::InfinitePast();
    double available_requests = 0;
    double available_tokens = 0;
    double offered_requests = 0;
    double offered_tokens = 0;
    absl::Time refilled_at;
    absl::Time last_used;
  };

  struct InstanceDemand {
    AccountRate offered;
    absl::Time received_at = absl::InfinitePast();
  };

  void Refill(ActiveAccount* active, absl::Time now) const;
  AccountRate ShareOf(const ActiveAccount& active, absl::Time now) const;

  std::string instance_;
  std::vector<std::string> members_;
  absl::flat_hash_map<std::string, ActiveAccount> active_accounts_;
  absl::flat_hash_map<std::string, std::map<std::string, InstanceDemand>>
      owned_accounts_;
  absl::Time period_start_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ACCOUNT_LIMITS_H_
