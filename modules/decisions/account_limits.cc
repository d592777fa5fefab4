#include "modules/decisions/account_limits.h"

#include <algorithm>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

/** Accounts without requests for this long are dropped. */
constexpr absl::Duration kIdleRetention = absl::Seconds(30);

/** Lower bound of the demand that is counted for an instance, in requests and
    tokens per second, so that an idle one keeps a small share to start from. */
constexpr double kMinDemand = 0.01;

/** Weight of the latest demand in the moving average. */
constexpr double kSmoothingFactor = 0.5;

void UpdateMovingAverage(double weight,
                         const AccountRate& rate,
                         AccountRate* smoothed) {
  smoothed->requests_per_second +=
      weight * (rate.requests_per_second - smoothed->requests_per_second);
  smoothed->tokens_per_second +=
      weight * (rate.tokens_per_second - smoothed->tokens_per_second);
}

}  // namespace

void AccountLimits::SetMembers(std::vector<std::string> members) {
  members_ = std::move(members);
}

AccountRate AccountLimits::ShareOf(const ActiveAccount& active,
                                   absl::Time now) const {
  if (now < active.granted_until)
    return active.share;
  const double instances =
      static_cast<double>(std::max<size_t>(1, members_.size()));
  return {active.rate.requests_per_second / instances,
          active.rate.tokens_per_second / instances};
}

void AccountLimits::Refill(ActiveAccount* active, absl::Time now) const {
  const double seconds = absl::ToDoubleSeconds(now - active->refilled_at);
  active->refilled_at = now;
  const AccountRate share = ShareOf(*active, now);
  // At least one request must fit, however many instances share the rate.
  const double max_requests =
      std::max(1.0, share.requests_per_second * kBurstSeconds);
  const double max_tokens = share.tokens_per_second * kBurstSeconds;
  active->available_requests =
      std::min(max_requests, active->available_requests +
                                 seconds * share.requests_per_second);
  active->available_tokens = std::min(
      max_tokens, active->available_tokens + seconds * share.tokens_per_second);
}

bool AccountLimits::Admit(const std::string& account,
                          const AccountRate& rate,
                          double tokens,
                          absl::Time now,
                          absl::Duration* retry_after) {
  auto [found, is_new] = active_accounts_.try_emplace(account);
  ActiveAccount& active = found->second;
  active.rate = rate;
  active.last_used = now;
  if (is_new) {
    const AccountRate share = ShareOf(active, now);
    active.refilled_at = now;
    active.available_requests =
        std::max(1.0, share.requests_per_second * kBurstSeconds);
    active.available_tokens = share.tokens_per_second * kBurstSeconds;
  }
  Refill(&active, now);
  active.offered_requests += 1;
  active.offered_tokens += tokens;
  // A prompt larger than the bucket makes its balance negative; otherwise it
  // could never be admitted.
  if (active.available_requests >= 1 && active.available_tokens > 0) {
    active.available_requests -= 1;
    active.available_tokens -= tokens;
    return true;
  }
  const AccountRate share = ShareOf(active, now);
  const double request_wait = (1 - active.available_requests) /
                              std::max(1e-9, share.requests_per_second);
  const double token_wait =
      -active.available_tokens / std::max(1e-9, share.tokens_per_second);
  *retry_after = absl::Seconds(std::max({0.1, request_wait, token_wait}));
  return false;
}

void AccountLimits::Refund(const std::string& account, double tokens) {
  auto found = active_accounts_.find(account);
  if (found != active_accounts_.end())
    found->second.available_tokens += tokens;
}

std::map<std::string, std::vector<AccountDemand>> AccountLimits::TakeDemands(
    absl::Time now) {
  std::map<std::string, std::vector<AccountDemand>> demands;
  const double seconds =
      period_start_ == absl::InfinitePast()
          ? absl::ToDoubleSeconds(kPeriod)
          : std::max(0.05, absl::ToDoubleSeconds(now - period_start_));
  period_start_ = now;
  absl::erase_if(active_accounts_, [&](const auto& entry) {
    return now - entry.second.last_used > kIdleRetention;
  });
  for (auto& [account, active] : active_accounts_) {
    const AccountDemand demand{.account = account,
                               .offered = {active.offered_requests / seconds,
                                           active.offered_tokens / seconds}};
    active.offered_requests = 0;
    active.offered_tokens = 0;
    const std::vector<std::string> owner = RendezvousTop(account, members_, 1);
    if (owner.empty() || owner.front() == instance_) {
      const AccountGrant grant = OnDemand(instance_, demand, active.rate, now);
      Refill(&active, now);
      active.share = grant.share;
      active.granted_until = now + grant.valid_for;
      continue;
    }
    demands[owner.front()].push_back(demand);
  }
  for (auto owned = owned_accounts_.begin(); owned != owned_accounts_.end();) {
    std::erase_if(owned->second, [&](const auto& instance_demand) {
      return now - instance_demand.second.received_at > kGrantValidity;
    });
    if (owned->second.empty())
      owned_accounts_.erase(owned++);
    else
      ++owned;
  }
  return demands;
}

AccountGrant AccountLimits::OnDemand(const std::string& from,
                                     const AccountDemand& demand,
                                     const AccountRate& rate,
                                     absl::Time now) {
  std::map<std::string, InstanceDemand>& demands_by_instance =
      owned_accounts_[demand.account];
  InstanceDemand& instance_demand = demands_by_instance[from];
  // A moving average lets shares follow the load without oscillating.
  const double weight = now - instance_demand.received_at <= kGrantValidity
                            ? kSmoothingFactor
                            : 1.0;
  UpdateMovingAverage(weight, demand.offered, &instance_demand.offered);
  instance_demand.received_at = now;
  AccountRate total;
  for (const auto& [instance, other] : demands_by_instance) {
    if (now - other.received_at > kGrantValidity)
      continue;
    total.requests_per_second +=
        std::max(kMinDemand, other.offered.requests_per_second);
    total.tokens_per_second +=
        std::max(kMinDemand, other.offered.tokens_per_second);
  }
  AccountGrant grant{.account = demand.account, .valid_for = kGrantValidity};
  grant.share.requests_per_second =
      kGrantedFraction * rate.requests_per_second *
      std::max(kMinDemand, instance_demand.offered.requests_per_second) /
      total.requests_per_second;
  grant.share.tokens_per_second =
      kGrantedFraction * rate.tokens_per_second *
      std::max(kMinDemand, instance_demand.offered.tokens_per_second) /
      total.tokens_per_second;
  return grant;
}

void AccountLimits::OnGrant(const AccountGrant& grant, absl::Time now) {
  auto found = active_accounts_.find(grant.account);
  if (found == active_accounts_.end())
    return;
  Refill(&found->second, now);
  found->second.share = grant.share;
  found->second.granted_until = now + grant.valid_for;
}

}  // namespace chicory
