#include "modules/decisions/account_limits.h"

#include <algorithm>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

/** An account that was not used for this long is forgotten here. */
constexpr absl::Duration kForgetAfter = absl::Seconds(30);

/** Demand below this counts as this much, so that a quiet instance keeps a
    share to start from. */
constexpr double kLeastDemand = 0.01;

/** Weight of the newest demand in the smoothed one. */
constexpr double kSmoothing = 0.5;

void Blend(double newest, const AccountRate& rate, AccountRate* smoothed) {
  smoothed->requests_per_second +=
      newest * (rate.requests_per_second - smoothed->requests_per_second);
  smoothed->tokens_per_second +=
      newest * (rate.tokens_per_second - smoothed->tokens_per_second);
}

}  // namespace

void AccountLimits::SetMembers(std::vector<std::string> members) {
  members_ = std::move(members);
}

AccountRate AccountLimits::ShareOf(const Seen& seen, absl::Time now) const {
  if (now < seen.granted_until)
    return seen.share;
  const double instances =
      static_cast<double>(std::max<size_t>(1, members_.size()));
  return {seen.rate.requests_per_second / instances,
          seen.rate.tokens_per_second / instances};
}

void AccountLimits::Refill(Seen* seen, absl::Time now) const {
  const double seconds = absl::ToDoubleSeconds(now - seen->refilled_at);
  seen->refilled_at = now;
  const AccountRate share = ShareOf(*seen, now);
  // At least one request must fit, however many instances share the rate.
  const double most_requests =
      std::max(1.0, share.requests_per_second * kBurstSeconds);
  const double most_tokens = share.tokens_per_second * kBurstSeconds;
  seen->saved_requests =
      std::min(most_requests,
               seen->saved_requests + seconds * share.requests_per_second);
  seen->saved_tokens = std::min(
      most_tokens, seen->saved_tokens + seconds * share.tokens_per_second);
}

bool AccountLimits::Admit(const std::string& account,
                          const AccountRate& rate,
                          double tokens,
                          absl::Time now,
                          absl::Duration* retry_after) {
  auto [found, is_new] = seen_.try_emplace(account);
  Seen& seen = found->second;
  seen.rate = rate;
  seen.last_used = now;
  if (is_new) {
    const AccountRate share = ShareOf(seen, now);
    seen.refilled_at = now;
    seen.saved_requests =
        std::max(1.0, share.requests_per_second * kBurstSeconds);
    seen.saved_tokens = share.tokens_per_second * kBurstSeconds;
  }
  Refill(&seen, now);
  seen.offered_requests += 1;
  seen.offered_tokens += tokens;
  // A prompt larger than the burst goes into debt, or it could never run.
  if (seen.saved_requests >= 1 && seen.saved_tokens > 0) {
    seen.saved_requests -= 1;
    seen.saved_tokens -= tokens;
    return true;
  }
  const AccountRate share = ShareOf(seen, now);
  const double for_request =
      (1 - seen.saved_requests) / std::max(1e-9, share.requests_per_second);
  const double for_tokens =
      -seen.saved_tokens / std::max(1e-9, share.tokens_per_second);
  *retry_after = absl::Seconds(std::max({0.1, for_request, for_tokens}));
  return false;
}

void AccountLimits::Refund(const std::string& account, double tokens) {
  auto found = seen_.find(account);
  if (found != seen_.end())
    found->second.saved_tokens += tokens;
}

std::map<std::string, std::vector<AccountDemand>> AccountLimits::TakeDemands(
    absl::Time now) {
  std::map<std::string, std::vector<AccountDemand>> demands;
  const double seconds =
      period_start_ == absl::InfinitePast()
          ? absl::ToDoubleSeconds(kPeriod)
          : std::max(0.05, absl::ToDoubleSeconds(now - period_start_));
  period_start_ = now;
  absl::erase_if(seen_, [&](const auto& entry) {
    return now - entry.second.last_used > kForgetAfter;
  });
  for (auto& [account, seen] : seen_) {
    const AccountDemand demand{.account = account,
                               .offered = {seen.offered_requests / seconds,
                                           seen.offered_tokens / seconds}};
    seen.offered_requests = 0;
    seen.offered_tokens = 0;
    const std::vector<std::string> owner = RendezvousTop(account, members_, 1);
    if (owner.empty() || owner.front() == instance_) {
      const AccountGrant grant = OnDemand(instance_, demand, seen.rate, now);
      Refill(&seen, now);
      seen.share = grant.share;
      seen.granted_until = now + grant.valid_for;
      continue;
    }
    demands[owner.front()].push_back(demand);
  }
  for (auto owned = owned_.begin(); owned != owned_.end();) {
    std::erase_if(owned->second, [&](const auto& claim) {
      return now - claim.second.at > kGrantValidity;
    });
    if (owned->second.empty())
      owned_.erase(owned++);
    else
      ++owned;
  }
  return demands;
}

AccountGrant AccountLimits::OnDemand(const std::string& from,
                                     const AccountDemand& demand,
                                     const AccountRate& rate,
                                     absl::Time now) {
  std::map<std::string, Claim>& claims = owned_[demand.account];
  Claim& claim = claims[from];
  // Smoothed, so that shares follow load without swinging.
  const double newest = now - claim.at <= kGrantValidity ? kSmoothing : 1.0;
  Blend(newest, demand.offered, &claim.offered);
  claim.at = now;
  AccountRate total;
  for (const auto& [instance, other] : claims) {
    if (now - other.at > kGrantValidity)
      continue;
    total.requests_per_second +=
        std::max(kLeastDemand, other.offered.requests_per_second);
    total.tokens_per_second +=
        std::max(kLeastDemand, other.offered.tokens_per_second);
  }
  AccountGrant grant{.account = demand.account, .valid_for = kGrantValidity};
  grant.share.requests_per_second =
      kGrantedPart * rate.requests_per_second *
      std::max(kLeastDemand, claim.offered.requests_per_second) /
      total.requests_per_second;
  grant.share.tokens_per_second =
      kGrantedPart * rate.tokens_per_second *
      std::max(kLeastDemand, claim.offered.tokens_per_second) /
      total.tokens_per_second;
  return grant;
}

void AccountLimits::OnGrant(const AccountGrant& grant, absl::Time now) {
  auto found = seen_.find(grant.account);
  if (found == seen_.end())
    return;
  Refill(&found->second, now);
  found->second.share = grant.share;
  found->second.granted_until = now + grant.valid_for;
}

}  // namespace chicory
