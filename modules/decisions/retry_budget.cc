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

double& RetryBudget::Slot(const std::string& key) {
  return saved_.try_emplace(key, kInitial).first->second;
}

void RetryBudget::Earn(const std::string& account, const std::string& route) {
  for (const std::string& key : {AccountKey(account), RouteKey(route)}) {
    double& saved = Slot(key);
    saved = std::min(kMaxSaved, saved + share_);
  }
}

bool RetryBudget::Spend(const std::string& account, const std::string& route) {
  const std::string account_key = AccountKey(account);
  const std::string route_key = RouteKey(route);
  if (Slot(account_key) < 1 || Slot(route_key) < 1)
    return false;
  Slot(account_key) -= 1;
  Slot(route_key) -= 1;
  return true;
}

double RetryBudget::Saved(const std::string& key) const {
  auto found = saved_.find(key);
  return found == saved_.end() ? kInitial : found->second;
}

}  // namespace chicory
