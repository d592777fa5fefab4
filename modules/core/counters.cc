#include "modules/core/counters.h"

#include "absl/strings/str_cat.h"

namespace chicory {

double* Counters::FindOrAddSeries(std::string_view series) {
  auto found = values_.find(series);
  if (found != values_.end())
    return &found->second;
  if (values_.size() >= kMaxSeries)
    return &values_["chicory_series_dropped_total"];
  return &values_[std::string(series)];
}

void Counters::Add(std::string_view series, double amount) {
  absl::MutexLock lock(&mutex_);
  *FindOrAddSeries(series) += amount;
}

void Counters::Set(std::string_view series, double value) {
  absl::MutexLock lock(&mutex_);
  *FindOrAddSeries(series) = value;
}

double Counters::Value(std::string_view series) const {
  absl::MutexLock lock(&mutex_);
  auto found = values_.find(series);
  return found == values_.end() ? 0 : found->second;
}

std::string Counters::Exposition() const {
  absl::MutexLock lock(&mutex_);
  std::string text;
  for (const auto& [series, value] : values_)
    absl::StrAppend(&text, series, " ", value, "\n");
  return text;
}

}  // namespace chicory
