#ifndef MODULES_DECISIONS_ACCOUNT_LIMITS_H_
#define MODULES_DECISIONS_ACCOUNT_LIMITS_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** A pair of rates: requests and tokens a second. */
struct AccountRate {
  double requests_per_second = 0;
  double tokens_per_second = 0;
};

/** What one instance was offered for one account of late. */
struct AccountDemand {
  std::string account;
  AccountRate offered;
};

/** What the owner of an account lets one instance admit. */
struct AccountGrant {
  std::string account;
  AccountRate share;
  absl::Duration valid_for = absl::ZeroDuration();
};

/** Keeps client accounts within their rates over all instances.

    Each account has one owner among the live instances, by rendezvous hashing.
    An instance that sees the account tells the owner once a period what it was
    offered; the owner grants shares of the rate in proportion, each valid for
    kGrantValidity. Without a valid grant an instance admits an equal part of
    the rate, so that a lost owner neither stops nor frees the account. Nothing
    on a request's path waits for a message.

    Overshoot: grants of one owner sum to at most kGrantedPart of the rate.
    When the owner moves, grants of the old and the new one overlap for at most
    kGrantValidity. While regions are parted each side has an owner, so the
    bound is the rate times the number of parts. Not thread-safe. */
class AccountLimits {
 public:
  /** How often demands are told to owners. */
  static constexpr absl::Duration kPeriod = absl::Seconds(1);
  /** How long a grant holds. */
  static constexpr absl::Duration kGrantValidity = absl::Seconds(3);
  /** Part of a rate that an owner grants; the rest is for instances that have
      no grant yet. */
  static constexpr double kGrantedPart = 0.9;
  /** Seconds of its share that an instance may save up. */
  static constexpr double kBurstSeconds = 1;

  explicit AccountLimits(std::string instance)
      : instance_(std::move(instance)) {}

  /** Live instances, this one among them; decides owners and equal parts. */
  void SetMembers(std::vector<std::string> members);

  /** Takes one request of `tokens` from the account's share. On refusal
      `retry_after` says when it is worth coming back. */
  bool Admit(const std::string& account,
             const AccountRate& rate,
             double tokens,
             absl::Time now,
             absl::Duration* retry_after);

  /** Gives back tokens that were admitted but not used. */
  void Refund(const std::string& account, double tokens);

  /** Demands to tell, by owner; this instance's own are applied directly.
      Call once a period. */
  std::map<std::string, std::vector<AccountDemand>> TakeDemands(absl::Time now);

  /** As owner: takes another instance's demand and answers with its share. */
  AccountGrant OnDemand(const std::string& from,
                        const AccountDemand& demand,
                        const AccountRate& rate,
                        absl::Time now);

  /** Takes over a grant of an owner. */
  void OnGrant(const AccountGrant& grant, absl::Time now);

  /** Accounts seen here of late; as owner, accounts looked after. */
  size_t seen() const { return seen_.size(); }
  size_t owned() const { return owned_.size(); }

 private:
  struct Seen {
    AccountRate rate;
    AccountRate share;
    absl::Time granted_until = absl::InfinitePast();
    double saved_requests = 0;
    double saved_tokens = 0;
    double offered_requests = 0;
    double offered_tokens = 0;
    absl::Time refilled_at;
    absl::Time last_used;
  };

  struct Claim {
    AccountRate offered;
    absl::Time at = absl::InfinitePast();
  };

  void Refill(Seen* seen, absl::Time now) const;
  AccountRate ShareOf(const Seen& seen, absl::Time now) const;

  std::string instance_;
  std::vector<std::string> members_;
  absl::flat_hash_map<std::string, Seen> seen_;
  absl::flat_hash_map<std::string, std::map<std::string, Claim>> owned_;
  absl::Time period_start_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ACCOUNT_LIMITS_H_
