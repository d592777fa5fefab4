#include "modules/gateway/request_handler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "modules/core/hashing.h"
#include "modules/net/loop_time.h"

namespace chicory {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Until the configuration is likely to have come. */
constexpr absl::Duration kUnconfiguredRetry = absl::Milliseconds(300);
/** A send that leaves the upstream less time than this is not worth it. */
constexpr absl::Duration kLeastTime = absl::Milliseconds(30);
/** Decisions that may be lost to a list of upstreams that has moved on. */
constexpr int kMaxDecisions = 8;
/** A plain upstream's response is overdue after so many times the
    route's target. */
constexpr double kOverdueTargets = 2;
/** Expected output over the caller's estimate. */
constexpr double kOutputMargin = 1.2;

std::string AddressesOf(const std::vector<PromptHelper>& helpers) {
  return absl::StrJoin(helpers, ",",
                       [](std::string* out, const PromptHelper& helper) {
                         out->append(helper.address);
                       });
}

HttpHeaders ForwardedHeaders(const HttpResponseHead& head) {
  HttpHeaders headers;
  const absl::string_view connection = head.headers.Find("Connection");
  for (const auto& [name, value] : head.headers.fields()) {
    if (IsHopByHop(name, connection))
      continue;
    // The length is set anew with the body.
    if (absl::EqualsIgnoreCase(name, "Content-Length"))
      continue;
    headers.Add(name, value);
  }
  return headers;
}

}  // namespace

RequestHandler::RequestHandler(GatewayState* state)
    : state_(state),
      telemetry_(state->log, state->metrics),
      timeout_(state->loop) {}

RequestHandler::~RequestHandler() = default;

void RequestHandler::Start(HttpRequest request, ResponseWriter* sink) {
  sink_ = sink;
  request_ = std::move(request);
  caller_ = state_->codec.ReadRequest(request_);
  arrived_ = SteadyNow();
  telemetry_.OnArrived(caller_.id, arrived_);
  if (!FindRoute())
    return;
  deadline_ = arrived_ + std::min(caller_.time_limit, route_->timeout);
  service_ = PickTarget(
      *route_, std::uniform_real_distribution<double>(0, 1)(state_->random));
  // Requests without a body are too alike to be told apart.
  if (!request_.body.empty()) {
    fingerprint_ = StableHash(
        request_.body, StableHash(request_.target, StableHash(account_)));
  }
  telemetry_.OnAdmitted({.route = *route_,
                         .service = service_,
                         .account = account_,
                         .configuration = table_->version(),
                         .prompt_tokens = caller_.prompt_tokens,
                         .time_limit = deadline_ - arrived_});
  state_->retries.OnRequest(service_, arrived_);
  ArmTimeout();
  AskForUpstream();
}

bool RequestHandler::FindRoute() {
  table_ = state_->table;
  if (!table_) {
    AnswerOwn(kUnavailable, kUnconfiguredRetry, "no_configuration");
    return false;
  }
  route_ = table_->Match(request_.headers.Find("Host"), request_.path());
  if (!route_) {
    AnswerOwn(kNotFound, absl::ZeroDuration(), "no_route");
    return false;
  }
  priority_ = route_->priority;
  if (!table_->has_accounts() || route_->anonymous)
    return true;
  const AccountEntry* account = table_->FindAccountByKey(caller_.key);
  if (!account) {
    AnswerOwn(kUnauthorized, absl::ZeroDuration(), "unknown_key");
    return false;
  }
  account_ = account->name;
  priority_ = account->priority.value_or(route_->priority);
  return true;
}

absl::Duration RequestHandler::TimeLeft() const {
  return deadline_ - SteadyNow();
}

void RequestHandler::ArmTimeout() {
  timeout_.expires_at(ToSteady(deadline_));
  timeout_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_)
          self->OnTimeout();
      });
}

void RequestHandler::AskForUpstream() {
  asked_at_ = SteadyNow();
  WorkRequest work{
      .service = service_,
      .prompt_tokens = caller_.prompt_tokens,
      .output_tokens =
          caller_.expected_output_tokens > 0
              ? std::min(
                    caller_.max_output_tokens,
                    static_cast<int64_t>(
                        static_cast<double>(caller_.expected_output_tokens) *
                        kOutputMargin))
              : caller_.max_output_tokens,
      .due = arrived_ + route_->target_latency,
      .deadline = deadline_,
      .event_gap = route_->event_gap,
      .priority = priority_,
      .avoid = avoid_,
      .fingerprint = fingerprint_};
  // The decision may come from within Submit, before the key is known here.
  const auto self = shared_from_this();
  work_ = state_->placement->NextKey();
  state_->runs[*work_] = this;
  state_->placement->Submit(std::move(work), asked_at_);
  state_->on_waiting();
}

void RequestHandler::AskAgain(const char* reason) {
  if (decisions_ < kMaxDecisions)
    AskForUpstream();
  else
    AnswerWithoutUpstream(reason);
}

void RequestHandler::OnDecision(const ScheduleDecision& decision,
                                InstanceIp scheduler) {
  if (finished_)
    return;
  const auto self = shared_from_this();
  ++decisions_;
  scheduler_ = scheduler;
  if (decision.kind == ScheduleDecision::Kind::kRefuse) {
    state_->runs.erase(decision.key);
    work_.reset();
    telemetry_.OnRefused(decision, scheduler, SteadyNow());
    if (decision.cause == RefusalCause::kCrashesUpstreams) {
      may_have_run_ = true;
      AnswerWithoutUpstream("crashes_upstreams");
      return;
    }
    AnswerWithoutUpstream("no_upstream_in_time", decision.retry_after);
    return;
  }
  const UpstreamRecord* upstream =
      state_->upstreams.FindReady(decision.upstream);
  if (!upstream) {
    EndSend(AttemptResult::kCancelled, 0);
    avoid_.push_back(decision.upstream);
    telemetry_.OnUpstreamUnknown(decision.upstream);
    AskAgain("upstreams_unknown");
    return;
  }
  if (TimeLeft() < kLeastTime) {
    EndSend(AttemptResult::kCancelled, 0);
    AnswerWithoutUpstream("no_time_left");
    return;
  }
  if (decision.memory.empty())
    SendTo(*upstream, decision);
  else
    HoldMemory(*upstream, decision);
}

void RequestHandler::HoldMemory(const UpstreamRecord& upstream,
                                const ScheduleDecision& decision) {
  std::vector<MemoryReservation::Share> shares;
  for (const MemoryShare& share : decision.memory) {
    const UpstreamRecord* holder = state_->upstreams.FindReady(share.upstream);
    if (!holder)
      continue;
    shares.push_back({.upstream_id = holder->id,
                      .address = *ParseEndpoint(holder->address),
                      .tokens = share.tokens});
  }
  memory_ = std::make_shared<MemoryReservation>(
      state_->loop, state_->codec,
      absl::StrCat("m", decision.key.owner, "-", decision.key.sequence),
      std::move(shares));
  const std::weak_ptr<RequestHandler> weak = weak_from_this();
  memory_->Acquire([weak, decision, upstream](bool held) {
    const std::shared_ptr<RequestHandler> self = weak.lock();
    if (!self || self->finished_)
      return;
    self->telemetry_.OnMemoryAsked(decision.memory.size(), held);
    if (held) {
      self->SendTo(upstream, decision);
      return;
    }
    self->EndSend(AttemptResult::kCancelled, 0);
    self->AskAgain("no_memory");
  });
}

std::vector<PromptHelper> RequestHandler::Helpers(
    const ScheduleDecision& decision) const {
  std::vector<PromptHelper> helpers;
  for (UpstreamKey key : decision.helpers) {
    const UpstreamRecord* record = state_->upstreams.FindReady(key);
    if (!record)
      continue;
    const bool holds_memory = std::any_of(
        decision.memory.begin(), decision.memory.end(),
        [key](const MemoryShare& share) { return share.upstream == key; });
    helpers.push_back(
        {.address = record->address,
         .memory_id = holds_memory ? memory_->id() : std::string()});
  }
  return helpers;
}

void RequestHandler::SendTo(const UpstreamRecord& upstream,
                            const ScheduleDecision& decision) {
  const absl::Time now = SteadyNow();
  upstream_ = decision.upstream;
  UpstreamRequestFields send{.upstream_id = upstream.id,
                             .account = account_,
                             .time_left = TimeLeft(),
                             .helpers = Helpers(decision)};
  if (!events_.last_event_id().empty())
    send.resume_after = events_.last_event_id();
  telemetry_.OnSent({.upstream_id = upstream.id,
                     .address = upstream.address,
                     .helpers = AddressesOf(send.helpers),
                     .scheduler = scheduler_,
                     .decided_after = now - asked_at_,
                     .upstreams_age = now - state_->upstreams_heard,
                     .expected = decision.expected,
                     .time_left = send.time_left},
                    now);
  exchange_ = std::make_shared<UpstreamExchange>(
      UpstreamExchange::Options{
          .upstream = upstream_,
          .address = *ParseEndpoint(upstream.address),
          .request_id = caller_.id,
          .may_run_again = route_->IsRetryable(),
          .expects_stream = route_->repeatability == Repeatability::kStreaming,
          .resumes = stream_begun_,
          .head_only = absl::EqualsIgnoreCase(request_.method, "HEAD")},
      UpstreamExchange::Shared{.codec = state_->codec,
                               .pool = state_->pool,
                               .directory = state_->upstreams},
      &events_, this);
  ArmWatchdog(now);
  exchange_->Send(
      absl::StrCat(state_->codec.UpstreamHead(request_, send), request_.body));
}

void RequestHandler::ArmWatchdog(absl::Time now) {
  // An engine under load sends nothing for as long as it reads.
  if (caller_.prompt_tokens > 0)
    return;
  if (!watchdog_) {
    watchdog_ = std::make_unique<ResponseWatchdog>(
        state_->loop, [weak = weak_from_this()] {
          if (const auto self = weak.lock())
            self->OnResponseOverdue();
        });
  }
  watchdog_->Start(now + route_->target_latency * kOverdueTargets);
}

void RequestHandler::BeginStream(const HttpResponseHead& head) {
  if (stream_begun_)
    return;
  stream_begun_ = true;
  sink_->BeginStream(head.status, ForwardedHeaders(head));
}

void RequestHandler::OnEvents(const HttpResponseHead& head,
                              const std::string& events) {
  const auto self = shared_from_this();
  const absl::Time now = SteadyNow();
  BeginStream(head);
  telemetry_.OnEvents(route_->target_latency, now);
  if (!first_part_told_ && work_) {
    first_part_told_ = true;
    state_->placement->OnResponseStarted(*work_, now);
  }
  sink_->SendChunk(events);
}

void RequestHandler::OnStreamComplete(const HttpResponseHead& head) {
  const auto self = shared_from_this();
  BeginStream(head);
  EndSend(AttemptResult::kDone, 0);
  sink_->EndStream();
  Finish(head.status, "stream_complete");
}

void RequestHandler::OnAnswer(const HttpResponseHead& head, std::string body) {
  const auto self = shared_from_this();
  if (head.status >= kInternalError) {
    saved_ = SavedAnswer{.head = head, .body = std::move(body)};
    OnExchangeFailed({.reason = "upstream_error"});
    return;
  }
  EndSend(AttemptResult::kDone, 0);
  sink_->SendWhole(head.status, ForwardedHeaders(head), body);
  Finish(head.status, "answered");
}

void RequestHandler::EndSend(AttemptResult result,
                             UpstreamKey faulty_upstream) {
  if (exchange_)
    exchange_->Cancel();
  exchange_.reset();
  if (watchdog_)
    watchdog_->Stop();
  if (memory_)
    memory_->Release();
  memory_.reset();
  if (!work_)
    return;
  const WorkKey key = *std::exchange(work_, std::nullopt);
  state_->runs.erase(key);
  state_->placement->OnEnded(key, result, faulty_upstream, SteadyNow());
}

bool RequestHandler::MaySendAgain(const UpstreamExchange::Failure& failure) {
  if (!failure.not_run && !route_->IsRetryable())
    return false;
  // A stream that was begun can only go on after an event with an id.
  if (stream_begun_ && events_.last_event_id().empty())
    return false;
  if (telemetry_.sends() >= route_->max_attempts || TimeLeft() < kLeastTime)
    return false;
  const absl::Time now = SteadyNow();
  return state_->retries.Spend(
      service_, state_->placement->membership().LiveInstances(now), now);
}

void RequestHandler::OnExchangeFailed(
    const UpstreamExchange::Failure& failure) {
  const auto self = shared_from_this();
  const absl::Time now = SteadyNow();
  may_have_run_ |= !failure.not_run;
  if (MaySendAgain(failure)) {
    SendAgain(failure);
    return;
  }
  telemetry_.OnSendFailed(failure, /*again=*/false, events_.events(), now);
  EndSend(failure.result, failure.faulty_upstream);
  AnswerWithoutUpstream(failure.reason);
}

void RequestHandler::SendAgain(const UpstreamExchange::Failure& failure) {
  telemetry_.OnSendFailed(failure, /*again=*/true, events_.events(),
                          SteadyNow());
  avoid_.push_back(failure.faulty_upstream != 0 ? failure.faulty_upstream
                                                : upstream_);
  EndSend(failure.result, failure.faulty_upstream);
  first_part_told_ = false;
  AskForUpstream();
}

void RequestHandler::OnResponseOverdue() {
  const UpstreamExchange::Failure failure{.reason = "response_overdue"};
  if (finished_ || !exchange_ || !MaySendAgain(failure))
    return;
  const auto self = shared_from_this();
  may_have_run_ = true;
  SendAgain(failure);
}

void RequestHandler::AnswerWithoutUpstream(const char* reason,
                                           absl::Duration retry_after) {
  if (stream_begun_) {
    sink_->Abort();
    Finish(0, reason);
    return;
  }
  if (saved_) {
    sink_->SendWhole(saved_->head.status, ForwardedHeaders(saved_->head),
                     saved_->body);
    Finish(saved_->head.status, reason);
    return;
  }
  if (may_have_run_)
    AnswerOwn(kBadGateway, absl::ZeroDuration(), reason);
  else
    AnswerOwn(kUnavailable, retry_after, reason);
}

void RequestHandler::AnswerOwn(int status,
                               absl::Duration retry_after,
                               const char* reason) {
  HttpHeaders headers = state_->codec.OwnResponseHeaders(caller_.id);
  if (retry_after > absl::ZeroDuration()) {
    headers.Add("Retry-After",
                absl::StrCat(absl::ToDoubleSeconds(retry_after)));
  }
  sink_->SendWhole(status, headers, "");
  Finish(status, reason);
}

void RequestHandler::OnTimeout() {
  const auto self = shared_from_this();
  const bool was_sent = exchange_ != nullptr;
  may_have_run_ |= was_sent && !exchange_->has_head();
  EndSend(was_sent ? AttemptResult::kFault : AttemptResult::kCancelled, 0);
  if (stream_begun_ || saved_ || !(may_have_run_ || was_sent)) {
    AnswerWithoutUpstream("timeout");
    return;
  }
  AnswerOwn(kGatewayTimeout, absl::ZeroDuration(), "timeout");
}

void RequestHandler::OnCallerDisconnected() {
  if (finished_)
    return;
  const auto self = shared_from_this();
  const bool was_overdue =
      exchange_ && watchdog_ && watchdog_->IsOverdue(SteadyNow());
  EndSend(was_overdue ? AttemptResult::kFault : AttemptResult::kCancelled, 0);
  Finish(0, "caller_left");
}

void RequestHandler::Finish(int status, const char* reason) {
  finished_ = true;
  timeout_.cancel();
  if (watchdog_)
    watchdog_->Stop();
  telemetry_.OnEnded(status, reason, events_.events(), SteadyNow());
}

}  // namespace chicory
