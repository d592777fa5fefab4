#include "modules/decisions/retry_budget.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

std::string AccountKey(const std::string& account) {
  return absl::StrCat("account/", account);
}

std::string RouteKey(const std::string& route) {
  return absl::StrCat("route/", route);
}

}  // namespace

double& RetryBudget::MutableBalance(const std::string& key) {
  return balances_.try_emplace(key, kInitialBalance).first->second;
}

void RetryBudget::Deposit(const std::string& account,
                          const std::string& route) {
  for (const std::string& key : {AccountKey(account), RouteKey(route)}) {
    double& balance = MutableBalance(key);
    balance = std::min(kMaxBalance, balance + ratio_);
  }
}

bool RetryBudget::TryWithdraw(const std::string& account,
                              const std::string& route) {
  const std::string account_key = AccountKey(account);
  const std::string route_key = RouteKey(route);
  if (MutableBalance(account_key) < 1 || MutableBalance(route_key) < 1)
    return false;
  MutableBalance(account_key) -= 1;
  MutableBalance(route_key) -= 1;
  return true;
}

double RetryBudget::Balance(const std::string& key) const {
  auto found = balances_.find(key);
  return found == balances_.end() ? kInitialBalance : found->second;
}

}  // namespace chicory
