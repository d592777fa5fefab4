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
                        size_t instances,
                        absl::Time now) {
  Row& row = CurrentRow(service, now);
  const double share =
      options_.slack / static_cast<double>(std::max<size_t>(instances, 1));
  const double allowed =
      kMargin *
      (options_.ratio * static_cast<double>(row.requests.size()) + share);
  if (static_cast<double>(row.retries.size() + 1) > allowed)
    return false;
  row.retries.push_back(now);
  return true;
}

size_t RetryWindow::Spent(const std::string& service, absl::Time now) {
  return CurrentRow(service, now).retries.size();
}

}  // namespace chicory
