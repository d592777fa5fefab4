#include "modules/serving/account_rate_limiter.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "modules/core/hashing.h"

namespace chicory {

namespace {

AccountRate ToAccountRate(const ClientAccount& account) {
  return {account.requests_per_second, account.tokens_per_second};
}

}  // namespace

const ClientAccount* AccountRateLimiter::Authenticate(
    const Configuration& configuration,
    std::string_view authorization) {
  constexpr std::string_view kBearerPrefix = "Bearer ";
  if (authorization.substr(0, kBearerPrefix.size()) != kBearerPrefix)
    return nullptr;
  const std::string_view key = authorization.substr(kBearerPrefix.size());
  const size_t dot = key.find('.');
  if (dot == std::string_view::npos)
    return nullptr;
  auto found = configuration.accounts.find(std::string(key.substr(0, dot)));
  if (found == configuration.accounts.end())
    return nullptr;
  const ClientAccount& account = found->second;
  const std::string hash = Sha256Hex(account.key_salt + std::string(key));
  return ConstantTimeEquals(hash, account.key_sha256) ? &account : nullptr;
}

bool AccountRateLimiter::Admit(const ClientAccount& account,
                               double tokens,
                               absl::Duration* retry_after) {
  absl::MutexLock lock(&mutex_);
  return limits_.Admit(account.name, ToAccountRate(account), tokens,
                       absl::Now(), retry_after);
}

void AccountRateLimiter::Refund(const ClientAccount& account, double tokens) {
  absl::MutexLock lock(&mutex_);
  limits_.Refund(account.name, tokens);
}

void AccountRateLimiter::SetMembers(std::vector<std::string> members) {
  absl::MutexLock lock(&mutex_);
  limits_.SetMembers(std::move(members));
}

std::map<std::string, std::vector<AccountDemand>>
AccountRateLimiter::TakeDemands() {
  absl::MutexLock lock(&mutex_);
  return limits_.TakeDemands(absl::Now());
}

std::vector<AccountGrant> AccountRateLimiter::OnDemands(
    const std::string& from,
    const std::vector<AccountDemand>& demands,
    const Configuration& configuration) {
  std::vector<AccountGrant> grants;
  absl::MutexLock lock(&mutex_);
  for (const AccountDemand& demand : demands) {
    auto found = configuration.accounts.find(demand.account);
    if (found == configuration.accounts.end())
      continue;
    grants.push_back(limits_.OnDemand(
        from, demand, ToAccountRate(found->second), absl::Now()));
  }
  return grants;
}

void AccountRateLimiter::OnGrants(const std::vector<AccountGrant>& grants) {
  absl::MutexLock lock(&mutex_);
  for (const AccountGrant& grant : grants)
    limits_.OnGrant(grant, absl::Now());
}

}  // namespace chicory
