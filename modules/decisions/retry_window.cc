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

bool RetryWindow::Reserve(const std::string& service,
                          InstanceCount instances,
                          absl::Time now) {
  const Budget budget = BudgetOf(service, instances, now);
  const size_t wanted = budget.retries + budget.reserved + 1;
  if (static_cast<double>(wanted) > budget.allowed)
    return false;
  ++rows_[service].reserved;
  return true;
}

void RetryWindow::Release(const std::string& service) {
  --rows_[service].reserved;
}

bool RetryWindow::Spend(const std::string& service,
                        InstanceCount instances,
                        absl::Time now) {
  const Budget budget = BudgetOf(service, instances, now);
  if (static_cast<double>(budget.retries + 1) > budget.allowed)
    return false;
  rows_[service].retries.push_back(now);
  return true;
}

void RetryWindow::Refund(const std::string& service, absl::Time spent_at) {
  std::deque<absl::Time>& retries = rows_[service].retries;
  const auto found = std::find(retries.begin(), retries.end(), spent_at);
  if (found != retries.end())
    retries.erase(found);
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
          .reserved = row.reserved,
          .allowed = kMargin * (options_.ratio * requests +
                                ShareOfSlack(instances, now))};
}

size_t RetryWindow::Spent(const std::string& service, absl::Time now) {
  return CurrentRow(service, now).retries.size();
}

}  // namespace chicory
