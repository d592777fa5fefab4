#include "modules/decisions/account_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace chicory {

namespace {

/** Time constant of the sums. A new scheduler learns them within this time. */
constexpr absl::Duration kAveragingTime = absl::Seconds(4);
/** How often the sums decay and the shares are computed. */
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(50);
/** Accounts whose sums fall below this, in seconds, are forgotten. */
constexpr double kNegligible = 1e-4;

}  // namespace

AccountShares::Service& AccountShares::ServiceAt(const std::string& name,
                                                 absl::Time now) {
  Service& service = services_[name];
  if (now - service.counted_at < kUpdateInterval)
    return service;
  const double factor =
      std::exp(-absl::FDivDuration(now - service.counted_at, kAveragingTime));
  service.counted_at = now;
  absl::erase_if(service.accounts, [factor](auto& entry) {
    entry.second.demand *= factor;
    entry.second.placed *= factor;
    return entry.second.demand < kNegligible;
  });
  return service;
}

void AccountShares::OnDemand(const WorkRequest& request,
                             absl::Duration engine_time,
                             absl::Time now) {
  ServiceAt(request.service, now).accounts[request.account].demand +=
      absl::ToDoubleSeconds(engine_time);
}

void AccountShares::OnPlaced(const WorkRequest& request,
                             absl::Duration engine_time,
                             absl::Time now) {
  ServiceAt(request.service, now).accounts[request.account].placed +=
      absl::ToDoubleSeconds(engine_time);
}

double AccountShares::UpdateLevel(Service& service) {
  double left = 0;
  std::vector<double> demands;
  for (auto& [key, account] : service.accounts) {
    account.compared = account.placed;
    left += account.placed;
    demands.push_back(std::max(account.demand, account.placed));
  }
  std::sort(demands.begin(), demands.end());
  size_t remaining = demands.size();
  for (const double demand : demands) {
    const double level = left / static_cast<double>(remaining);
    if (demand >= level)
      return level;
    left -= demand;
    --remaining;
  }
  return HUGE_VAL;
}

bool AccountShares::IsAboveShare(const WorkRequest& request, absl::Time now) {
  Service& service = ServiceAt(request.service, now);
  if (now - service.computed_at >= kUpdateInterval) {
    service.level = UpdateLevel(service);
    service.computed_at = now;
  }
  const auto found = service.accounts.find(request.account);
  return found != service.accounts.end() &&
         found->second.compared > service.level;
}

}  // namespace chicory
