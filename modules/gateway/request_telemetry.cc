#include "modules/gateway/request_telemetry.h"

#include <algorithm>
#include <utility>

#include "modules/net/socket_options.h"

namespace chicory {

namespace {

int64_t Ms(absl::Duration duration) {
  return absl::ToInt64Milliseconds(duration);
}

}  // namespace

void RequestTelemetry::OnArrived(std::string request, absl::Time now) {
  request_ = std::move(request);
  arrived_ = now;
}

void RequestTelemetry::OnAdmitted(const Admission& admission) {
  service_ = admission.service;
  log_.WriteDetail("request_admitted",
                   {{"request", request_},
                    {"route", admission.route.name},
                    {"service", admission.service},
                    {"account", admission.account},
                    {"configuration", admission.configuration},
                    {"prompt_tokens", admission.prompt_tokens},
                    {"patience_ms", Ms(admission.time_limit)}});
}

void RequestTelemetry::OnUpstreamUnknown(UpstreamKey upstream) {
  log_.WriteDetail("upstream_unknown_here",
                   {{"request", request_}, {"upstream", upstream}});
}

void RequestTelemetry::OnMemoryAsked(size_t engines, bool held) {
  log_.WriteDetail(
      "memory_asked",
      {{"request", request_}, {"engines", engines}, {"held", held ? 1 : 0}});
}

void RequestTelemetry::OnSent(const Send& send, absl::Time now) {
  ++sends_;
  sent_at_ = now;
  upstream_id_ = send.upstream_id;
  metrics_.OnSent(service_, now - arrived_);
  log_.WriteDetail("request_sent",
                   {{"request", request_},
                    {"upstream", send.upstream_id},
                    {"address", send.address},
                    {"send", sends_},
                    {"helpers", send.helpers.empty() ? "none" : send.helpers},
                    {"scheduler", IpText(send.scheduler)},
                    {"decided_after_ms", Ms(send.decided_after)},
                    {"upstreams_age_ms", Ms(send.upstreams_age)},
                    {"waited_ms", Ms(now - arrived_)},
                    {"expected_ms", Ms(send.expected)},
                    {"time_left_ms", Ms(send.time_left)}});
}

void RequestTelemetry::OnRefused(const ScheduleDecision& decision,
                                 InstanceIp scheduler,
                                 absl::Time now) {
  log_.WriteDetail("request_refused",
                   {{"request", request_},
                    {"cause", RefusalCauseName(decision.cause)},
                    {"scheduler", IpText(scheduler)},
                    {"waited_ms", Ms(now - arrived_)},
                    {"retry_after_ms", Ms(decision.retry_after)}});
}

void RequestTelemetry::OnEvents(absl::Duration target_latency, absl::Time now) {
  const bool is_first = last_event_ == absl::InfinitePast();
  if (!is_first)
    longest_gap_ = std::max(longest_gap_, now - last_event_);
  last_event_ = now;
  if (!is_first)
    return;
  metrics_.OnFirstEvent(service_, now - arrived_);
  log_.WriteDetail("first_event", {{"request", request_},
                                   {"upstream", upstream_id_},
                                   {"after_send_ms", Ms(now - sent_at_)},
                                   {"after_arrival_ms", Ms(now - arrived_)},
                                   {"target_ms", Ms(target_latency)}});
}

void RequestTelemetry::OnSendFailed(const UpstreamExchange::Failure& failure,
                                    bool again,
                                    int events,
                                    absl::Time now) {
  metrics_.OnSendFailed(service_, failure.reason);
  log_.Write("send_failed", {{"request", request_},
                             {"upstream", upstream_id_},
                             {"reason", failure.reason},
                             {"not_run", failure.not_run ? 1 : 0},
                             {"send", sends_},
                             {"after_ms", Ms(now - sent_at_)},
                             {"events", events},
                             {"again", again ? 1 : 0}});
}

void RequestTelemetry::OnEnded(int status,
                               const char* reason,
                               int events,
                               absl::Time now) {
  const absl::Duration took = now - arrived_;
  metrics_.OnRequestEnded(service_, status, reason, took);
  if (events > 0 && status != 0)
    metrics_.OnStreamComplete(service_, longest_gap_);
  log_.WriteDetail("request_ended", {{"request", request_},
                                     {"status", status},
                                     {"reason", reason},
                                     {"sends", sends_},
                                     {"events", events},
                                     {"longest_gap_ms", Ms(longest_gap_)},
                                     {"took_ms", Ms(took)}});
}

}  // namespace chicory
