#include "modules/core/timeline.h"

#include <algorithm>

#include "nlohmann/json.hpp"

namespace chicory {

const char* TimelineEventKindName(TimelineEventKind kind) {
  static constexpr const char* kNames[] = {
      "process_started", "process_stopping",       "request_arrived",
      "request_refused", "request_finished",       "attempt_started",
      "attempt_ended",   "attempt_cancelled",      "once_recorded",
      "once_replayed",   "configuration_in_force", "orphan_released",
      "peer_state",      "upstream_state",
  };
  return kNames[static_cast<int>(kind)];
}

uint64_t Timeline::Record(
    absl::Time time,
    TimelineEventKind kind,
    std::string_view request,
    std::vector<std::pair<std::string, std::string>> details) {
  absl::MutexLock lock(&mutex_);
  ++stamp_;
  events_.push_back({.stamp = stamp_,
                     .time = time,
                     .process = process_,
                     .kind = kind,
                     .request = std::string(request),
                     .details = std::move(details)});
  if (events_.size() > kMaxEvents)
    events_.pop_front();
  return stamp_;
}

void Timeline::Observe(uint64_t stamp) {
  absl::MutexLock lock(&mutex_);
  stamp_ = std::max(stamp_, stamp);
}

uint64_t Timeline::stamp() const {
  absl::MutexLock lock(&mutex_);
  return stamp_;
}

std::string Timeline::ToJsonLines() const {
  absl::MutexLock lock(&mutex_);
  std::string text;
  for (const TimelineEvent& event : events_) {
    nlohmann::ordered_json line = {{"stamp", event.stamp},
                                   {"time_us", absl::ToUnixMicros(event.time)},
                                   {"process", event.process},
                                   {"event", TimelineEventKindName(event.kind)},
                                   {"request", event.request}};
    for (const auto& [key, value] : event.details)
      line[key] = value;
    text +=
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
  }
  return text;
}

}  // namespace chicory
