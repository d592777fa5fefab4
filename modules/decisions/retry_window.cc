#include "modules/decisions/retry_window.h"

#include <algorithm>

namespace chicory {

RetryWindow::Row& RetryWindow::CurrentRow(const std::string& service,
                                          absl::Time now) {
  Row& row = rows_[service];
  const absl::Time from = now - options_.window;
  while (!row.requests.empty() && row.requests.front() < from)
    row.requests.pop_front();
  while (!row.retries.empty() && row.retries.front() < from)
    row.retries.pop_front();
  return row;
}

void RetryWindow::OnRequest(const std::string& service, absl::Time now) {
  CurrentRow(service, now).requests.push_back(now);
}

bool RetryWindow::Spend(const std::string& service,
                        InstanceCount instances,
                        absl::Time now) {
  const Budget budget = BudgetOf(service, instances, now);
  if (static_cast<double>(budget.retries + 1) > budget.allowed)
    return false;
  CurrentRow(service, now).retries.push_back(now);
  return true;
}

double RetryWindow::ShareOfSlack(InstanceCount instances,
                                 absl::Time now) const {
  if (!instances)
    return 0;
  const double windows_since_start =
      absl::FDivDuration(now - options_.started, options_.window);
  const double grown = std::min(1.0, windows_since_start / kWindowsToFullShare);
  return grown * options_.slack /
         static_cast<double>(std::max<size_t>(*instances, 1));
}

RetryWindow::Budget RetryWindow::BudgetOf(const std::string& service,
                                          InstanceCount instances,
                                          absl::Time now) {
  const Row& row = CurrentRow(service, now);
  const double requests = static_cast<double>(row.requests.size());
  return {.requests = row.requests.size(),
          .retries = row.retries.size(),
          .allowed = kMargin * (options_.ratio * requests +
                                ShareOfSlack(instances, now))};
}

size_t RetryWindow::Spent(const std::string& service, absl::Time now) {
  return CurrentRow(service, now).retries.size();
}

}  // namespace chicory
