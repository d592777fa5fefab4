#include "modules/gateway/request_telemetry.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "modules/net/socket_options.h"

namespace chicory {

namespace {

int64_t Ms(absl::Duration duration) {
  return absl::ToInt64Milliseconds(duration);
}

std::string Hex(uint64_t value) {
  return absl::StrCat(absl::Hex(value));
}

/** The announced length of a body as a log value. */
std::string AnnouncedBytes(const UpstreamExchange::BodyEnd& end) {
  return end.announced_bytes ? absl::StrCat(*end.announced_bytes) : "none";
}

}  // namespace

std::string JoinParts(const std::vector<PromptPart>& parts) {
  if (parts.empty())
    return "none";
  return absl::StrJoin(parts, ",", [](std::string* out, PromptPart part) {
    absl::StrAppend(out, absl::Hex(part));
  });
}

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
                    {"shared_parts", JoinParts(admission.shared_parts)},
                    {"fingerprint", Hex(admission.fingerprint)},
                    {"body_bytes", admission.body_bytes},
                    {"patience_ms", Ms(admission.time_limit)}});
}

void RequestTelemetry::OnUpstreamUnknown(UpstreamKey upstream) {
  log_.WriteDetail("upstream_unknown_here",
                   {{"request", request_}, {"upstream", upstream}});
}

void RequestTelemetry::OnTakenBack(const char* what, absl::Time now) {
  log_.WriteDetail("request_taken_back", {{"request", request_},
                                          {"service", service_},
                                          {"what", what},
                                          {"waited_ms", Ms(now - arrived_)}});
}

void RequestTelemetry::OnMemoryReservation(size_t engines, bool granted) {
  log_.WriteDetail(
      "memory_asked",
      {{"request", request_}, {"engines", engines}, {"held", granted ? 1 : 0}});
}

RequestTelemetry::SentAttempt RequestTelemetry::OnAttemptStarted(
    const Attempt& attempt,
    absl::Time now) {
  ++attempts_;
  metrics_.OnAttemptStarted(service_, now - arrived_);
  log_.WriteDetail(
      "request_sent",
      {{"request", request_},
       {"upstream", attempt.upstream_id},
       {"address", attempt.address},
       {"send", attempts_},
       {"helpers", attempt.helpers.empty() ? "none" : attempt.helpers},
       {"scheduler", IpText(attempt.scheduler)},
       {"decided_after_ms", Ms(attempt.decided_after)},
       {"upstreams_age_ms", Ms(attempt.upstreams_age)},
       {"waited_ms", Ms(now - arrived_)},
       {"expected_ms", Ms(attempt.expected)},
       {"time_left_ms", Ms(attempt.time_left)}});
  return {
      .number = attempts_, .upstream_id = attempt.upstream_id, .sent_at = now};
}

void RequestTelemetry::OnUpstreamLeaving(const SentAttempt& attempt) {
  metrics_.OnAnnouncement(service_, "leaving");
  log_.Write("upstream_leaving",
             {{"request", request_}, {"upstream", attempt.upstream_id}});
}

void RequestTelemetry::OnUpstreamRests(const SentAttempt& attempt,
                                       absl::Duration rest) {
  metrics_.OnAnnouncement(service_, "rest");
  log_.Write("upstream_rests", {{"request", request_},
                                {"upstream", attempt.upstream_id},
                                {"for_ms", Ms(rest)}});
}

void RequestTelemetry::OnUnusableRest(const SentAttempt& attempt,
                                      absl::string_view text) {
  LogUnusable("upstream_rest_ignored", attempt, text);
}

void RequestTelemetry::LogUnusable(const char* event,
                                   const SentAttempt& attempt,
                                   absl::string_view text) {
  constexpr size_t kMaxLoggedBytes = 60;
  log_.Write(event, {{"request", request_},
                     {"upstream", attempt.upstream_id},
                     {"value", text.substr(0, kMaxLoggedBytes)}});
}

void RequestTelemetry::OnUpstreamLimit(const SentAttempt& attempt,
                                       std::optional<double> per_second) {
  metrics_.OnAnnouncement(service_, "limit");
  log_.Write("upstream_limit",
             {{"request", request_},
              {"upstream", attempt.upstream_id},
              {"per_second", per_second ? absl::StrCat(*per_second) : "none"}});
}

void RequestTelemetry::OnUnusableLimit(const SentAttempt& attempt,
                                       absl::string_view text) {
  LogUnusable("upstream_limit_ignored", attempt, text);
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

void RequestTelemetry::OnEvents(const SentAttempt& attempt,
                                absl::Duration target_latency,
                                absl::Time now) {
  const bool is_first = last_event_ == absl::InfinitePast();
  if (!is_first)
    longest_gap_ = std::max(longest_gap_, now - last_event_);
  last_event_ = now;
  if (!is_first)
    return;
  metrics_.OnFirstEvent(service_, now - arrived_);
  log_.WriteDetail("first_event", {{"request", request_},
                                   {"upstream", attempt.upstream_id},
                                   {"after_send_ms", Ms(now - attempt.sent_at)},
                                   {"after_arrival_ms", Ms(now - arrived_)},
                                   {"target_ms", Ms(target_latency)}});
}

void RequestTelemetry::OnRetryDecided(bool granted,
                                      const RetryWindow::Budget& budget,
                                      RetryWindow::InstanceCount instances) {
  metrics_.OnRetryDecided(service_, granted);
  log_.WriteDetail("retry_decided", {{"request", request_},
                                     {"service", service_},
                                     {"granted", granted ? 1 : 0},
                                     {"requests", budget.requests},
                                     {"retries", budget.retries},
                                     {"reserved", budget.reserved},
                                     {"allowed", budget.allowed},
                                     {"instances", instances.value_or(0)}});
}

void RequestTelemetry::OnAttemptFailed(const SentAttempt& attempt,
                                       const UpstreamExchange::Failure& failure,
                                       bool will_retry,
                                       int events,
                                       absl::Time now) {
  metrics_.OnAttemptFailed(service_, failure.reason);
  log_.Write("send_failed",
             {{"request", request_},
              {"upstream", attempt.upstream_id},
              {"reason", failure.reason},
              {"not_run", failure.not_run ? 1 : 0},
              {"send", attempt.number},
              {"after_ms", Ms(now - attempt.sent_at)},
              {"kept_connection", failure.kept_connection ? 1 : 0},
              {"events", events},
              {"framing", BodyFramingName(body_end_.framing)},
              {"announced_bytes", AnnouncedBytes(body_end_)},
              {"partial_event", body_end_.partial_event_bytes},
              {"again", will_retry ? 1 : 0}});
}

void RequestTelemetry::OnEnded(int status,
                               const char* reason,
                               int events,
                               absl::Time now) {
  const absl::Duration took = now - arrived_;
  metrics_.OnRequestEnded(service_, status, reason, took);
  if (events > 0 && status != 0)
    metrics_.OnStreamComplete(service_, longest_gap_);
  log_.WriteDetail("request_ended",
                   {{"request", request_},
                    {"status", status},
                    {"reason", reason},
                    {"sends", attempts_},
                    {"events", events},
                    {"framing", BodyFramingName(body_end_.framing)},
                    {"partial_event", body_end_.partial_event_bytes},
                    {"longest_gap_ms", Ms(longest_gap_)},
                    {"took_ms", Ms(took)}});
}

}  // namespace chicory
