#include "stand_ins/request_limit_check.h"

#include <algorithm>

namespace chicory {

int RequestLimitCheck::Window::Add(absl::Time now) {
  arrivals_.push_back(now);
  while (arrivals_.front() <= now - kWindow)
    arrivals_.pop_front();
  return static_cast<int>(arrivals_.size());
}

void RequestLimitCheck::SetLimit(std::optional<double> limit, absl::Time now) {
  if (is_named_ && limit && periods_.back().limit == *limit)
    return;
  if (is_named_)
    periods_.back().end = now;
  is_named_ = limit.has_value();
  if (!limit)
    return;
  const double in_window = *limit * absl::ToDoubleSeconds(kWindow);
  periods_.push_back(
      {.limit = *limit, .allowed = kTolerance * in_window + kBurst});
  told_.clear();
  told_window_ = {};
  window_ = {};
}

void RequestLimitCheck::Restart(absl::Time now) {
  if (!is_named_)
    return;
  const double limit = periods_.back().limit;
  SetLimit(std::nullopt, now);
  SetLimit(limit, now);
}

void RequestLimitCheck::OnRequest(const std::string& gateway, absl::Time now) {
  if (!is_named_)
    return;
  Period& period = periods_.back();
  if (period.first_named > now)
    return;
  ++period.requests;
  const int in_window = window_.Add(now);
  const int told_in_window = IsTold(gateway, now) ? told_window_.Add(now) : 0;
  if (now < period.first_named + kGrace)
    return;
  period.worst_of_all = std::max(period.worst_of_all, in_window);
  period.worst = std::max(period.worst, told_in_window);
}

void RequestLimitCheck::OnResponse(const std::string& gateway, absl::Time now) {
  if (!is_named_)
    return;
  Period& period = periods_.back();
  period.first_named = std::min(period.first_named, now);
  told_.try_emplace(gateway, now);
}

bool RequestLimitCheck::IsTold(const std::string& gateway,
                               absl::Time now) const {
  const auto found = told_.find(gateway);
  return found != told_.end() && found->second + kDelay <= now;
}

}  // namespace chicory
