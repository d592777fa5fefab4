#include "modules/gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

/** Upper bounds of the histogram buckets, in seconds. */
const prometheus::Histogram::BucketBoundaries kLatencyBounds = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
    0.75,  1,    1.5,   2.5,  4,   6,   10,  15};

template <class Builder>
auto& AddFamily(prometheus::Registry* registry,
                Builder builder,
                const char* name,
                const char* help) {
  return builder.Name(name).Help(help).Register(*registry);
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(AddFamily(&registry_,
                          prometheus::BuildCounter(),
                          "chicory_requests_total",
                          "Requests by the status that their callers got")),
      failed_attempts_(AddFamily(&registry_,
                                 prometheus::BuildCounter(),
                                 "chicory_failed_sends_total",
                                 "Sends to upstreams that gave no answer")),
      retries_(AddFamily(&registry_,
                         prometheus::BuildCounter(),
                         "chicory_retries_total",
                         "Retries that the retry budget allowed or refused")),
      announcements_(
          AddFamily(&registry_,
                    prometheus::BuildCounter(),
                    "chicory_upstream_announcements_total",
                    "Responses in which an upstream says that it is leaving, "
                    "wants no requests for some time or changes its limit")),
      snapshots_(AddFamily(&registry_,
                           prometheus::BuildCounter(),
                           "chicory_snapshots_total",
                           "Snapshots of the configuration and the upstreams "
                           "that were sent to other instances or requested "
                           "from them")),
      callback_failures_(
          AddFamily(&registry_,
                    prometheus::BuildCounter(),
                    "chicory_callback_failures_total",
                    "Callbacks of the event loop that ended with an exception")
              .Add({})),
      closed_callers_(
          AddFamily(&registry_,
                    prometheus::BuildCounter(),
                    "chicory_closed_callers_total",
                    "Callers' connections that were refused or closed so that "
                    "memory or connections are left for others")),
      durations_(AddFamily(&registry_,
                           prometheus::BuildHistogram(),
                           "chicory_request_duration_seconds",
                           "From a request's arrival to its end")),
      waits_(AddFamily(&registry_,
                       prometheus::BuildHistogram(),
                       "chicory_wait_seconds",
                       "From a request's arrival to its send")),
      first_events_(AddFamily(&registry_,
                              prometheus::BuildHistogram(),
                              "chicory_first_event_seconds",
                              "From a request's arrival to its first event")),
      gaps_(AddFamily(&registry_,
                      prometheus::BuildHistogram(),
                      "chicory_longest_event_gap_seconds",
                      "Longest pause within each complete stream")) {}

const std::string& GatewayMetrics::ServiceLabel(
    const std::string& service) const {
  static const std::string kNone = "none";
  static const std::string kOther = "other";
  if (service.empty())
    return kNone;
  const bool is_known = services_.contains(service);
  return is_known || services_.size() < kMaxServices ? service : kOther;
}

GatewayMetrics::ServiceMetrics& GatewayMetrics::MetricsFor(
    const std::string& service) {
  const std::string& label = ServiceLabel(service);
  ServiceMetrics& metrics = services_[label];
  if (metrics.duration)
    return metrics;
  const prometheus::Labels labels = {{"service", label}};
  metrics.duration = &durations_.Add(labels, kLatencyBounds);
  metrics.waited = &waits_.Add(labels, kLatencyBounds);
  metrics.first_event = &first_events_.Add(labels, kLatencyBounds);
  metrics.longest_gap = &gaps_.Add(labels, kLatencyBounds);
  return metrics;
}

void GatewayMetrics::OnRequestEnded(const std::string& service,
                                    int status,
                                    absl::string_view reason,
                                    absl::Duration took) {
  requests_
      .Add({{"service", ServiceLabel(service)},
            {"status", absl::StrCat(status)},
            {"reason", std::string(reason)}})
      .Increment();
  MetricsFor(service).duration->Observe(absl::ToDoubleSeconds(took));
}

void GatewayMetrics::OnAttemptStarted(const std::string& service,
                                      absl::Duration waited) {
  MetricsFor(service).waited->Observe(absl::ToDoubleSeconds(waited));
}

void GatewayMetrics::OnAttemptFailed(const std::string& service,
                                     absl::string_view reason) {
  failed_attempts_
      .Add(
          {{"service", ServiceLabel(service)}, {"reason", std::string(reason)}})
      .Increment();
}

void GatewayMetrics::OnRetryDecided(const std::string& service, bool granted) {
  retries_
      .Add({{"service", ServiceLabel(service)},
            {"granted", granted ? "yes" : "no"}})
      .Increment();
}

void GatewayMetrics::OnAnnouncement(const std::string& service,
                                    absl::string_view what) {
  announcements_
      .Add({{"service", ServiceLabel(service)}, {"what", std::string(what)}})
      .Increment();
}

void GatewayMetrics::OnSnapshot(absl::string_view outcome) {
  snapshots_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void GatewayMetrics::OnCallerClosed(absl::string_view state) {
  closed_callers_.Add({{"state", std::string(state)}}).Increment();
}

void GatewayMetrics::OnFirstEvent(const std::string& service,
                                  absl::Duration after_arrival) {
  MetricsFor(service).first_event->Observe(
      absl::ToDoubleSeconds(after_arrival));
}

void GatewayMetrics::OnStreamComplete(const std::string& service,
                                      absl::Duration longest_gap) {
  MetricsFor(service).longest_gap->Observe(absl::ToDoubleSeconds(longest_gap));
}

std::string GatewayMetrics::Exposition(const Levels& levels) {
  struct Row {
    const char* name;
    const char* help;
    double value;
  };
  const Row rows[] = {
      {"chicory_requests_in_flight", "Requests that wait or run here",
       static_cast<double>(levels.in_flight)},
      {"chicory_live_instances", "Live instances as believed here",
       static_cast<double>(levels.live_instances)},
      {"chicory_scheduler_waiting", "Requests that wait in this scheduler",
       static_cast<double>(levels.scheduler_waiting)},
      {"chicory_scheduler_running", "Requests that this scheduler placed",
       static_cast<double>(levels.scheduler_running)},
      {"chicory_configuration_version", "Configuration in force",
       static_cast<double>(levels.configuration_version)},
      {"chicory_source_age_seconds",
       "Time since the source last confirmed, to any instance, that what is "
       "known here is the newest",
       absl::ToDoubleSeconds(levels.source_age)},
      {"chicory_upstreams", "Upstreams known",
       static_cast<double>(levels.upstreams)},
      {"chicory_refused_prompt_parts",
       "Parts of prompts that are refused because they crash upstreams",
       static_cast<double>(levels.refused_parts)},
      {"chicory_refused_requests",
       "Requests whose repeats are refused because they crash upstreams",
       static_cast<double>(levels.refused_requests)},
      {"chicory_limited_upstreams",
       "Upstreams that have limited their requests, as known here",
       static_cast<double>(levels.limited_upstreams)},
      {"chicory_cold_upstreams",
       "Upstreams that take few requests after their start, as known here",
       static_cast<double>(levels.cold_upstreams)},
      {"chicory_cold_held_back",
       "Placements by this scheduler that left out a cold upstream at its rate",
       static_cast<double>(levels.cold_held_back)},
      {"chicory_evacuated_data_centres",
       "Data centres that are evacuated, as known here",
       static_cast<double>(levels.evacuated_data_centres)},
      {"chicory_held_bytes",
       "Bytes held for callers and upstreams: bodies and responses that are "
       "incomplete, queued or not read",
       static_cast<double>(levels.held_bytes)},
      {"chicory_max_held_bytes", "Maximum of the bytes held",
       static_cast<double>(levels.max_held_bytes)},
      {"chicory_log_lines_dropped", "Log lines that were not written",
       static_cast<double>(levels.log_lines_dropped)},
  };
  for (const Row& row : rows) {
    AddFamily(&registry_, prometheus::BuildGauge(), row.name, row.help)
        .Add({})
        .Set(row.value);
  }
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace chicory
