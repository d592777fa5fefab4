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

/** An attempt is started only if the upstream has at least this much time. */
constexpr absl::Duration kMinTimeLeft = absl::Milliseconds(30);
/** Limit on decisions for one request. A decision is unusable when the
    scheduler's list of upstreams differs from this instance's, or when a helper
    refuses the memory reservation. */
constexpr int kMaxDecisions = 8;
/** A response to a request without a prompt is overdue after this multiple of
    the route's target latency. */
constexpr double kOverdueFactor = 2;
/** A caller is assumed to abandon a stream that has been silent for
    kMinAbandonTime, or for these multiples of the route's target latency or
    event gap, whichever is longest. */
constexpr absl::Duration kMinAbandonTime = absl::Seconds(2);
constexpr double kAbandonLatencies = 4;
constexpr double kAbandonGaps = 8;
/** A stream that can be resumed is resumed at another upstream after this share
    of that time, so that its next event is in time for the caller. */
constexpr double kSilenceShare = 0.6;
/** The first event is overdue after at least this multiple of the time in which
    the scheduler expects it. */
constexpr double kExpectedFactor = 3;
/** Retry delay of requests that this instance turns away because it shuts down;
    other instances can serve them at once. */
constexpr absl::Duration kShutdownRetryAfter = absl::Milliseconds(50);
/** Factor from the caller's estimate of the output to the planned output. */
constexpr double kOutputMargin = 1.2;

constexpr char kEvacuated[] = "data_centre_evacuated";

/** Returns all upstreams of a placement. */
std::vector<UpstreamKey> UpstreamsOf(const ScheduleDecision& decision) {
  std::vector<UpstreamKey> upstreams = {decision.upstream};
  upstreams.insert(upstreams.end(), decision.helpers.begin(),
                   decision.helpers.end());
  for (const MemoryShare& share : decision.memory)
    upstreams.push_back(share.upstream);
  return upstreams;
}

std::string JoinAddresses(const std::vector<PromptHelper>& helpers) {
  return absl::StrJoin(helpers, ",",
                       [](std::string* out, const PromptHelper& helper) {
                         out->append(helper.address);
                       });
}

/** Requests that are equal in these count as repeats of one request, and a
    response to one of them clears all. */
RequestFingerprint RequestFingerprintOf(const std::string& method,
                                        const std::string& target,
                                        const std::string& account,
                                        const std::string& body) {
  const uint64_t caller = StableHash(account, StableHash(method));
  return StableHash(body, StableHash(target, caller));
}

HttpHeaders ForwardedHeaders(const HttpResponseHead& head) {
  HttpHeaders headers;
  const absl::string_view connection = head.headers.Find("Connection");
  for (const auto& [name, value] : head.headers.fields()) {
    if (IsHopByHop(name, connection))
      continue;
    // The response writer sets the length of the body it sends.
    if (absl::EqualsIgnoreCase(name, "Content-Length"))
      continue;
    headers.Add(name, value);
  }
  return headers;
}

}  // namespace

/** Passes what the replacement of a silent attempt receives to the handler,
    which uses the replacement from its first response on. */
class RequestHandler::ReplacementListener : public UpstreamExchange::Listener {
 public:
  explicit ReplacementListener(RequestHandler* handler) : handler_(handler) {}

  void OnAnnouncement(const ResponseClassification& response) override {
    handler_->RecordAnnouncement(handler_->replacement_, response);
  }
  void OnEvents(const HttpResponseHead& head,
                const std::string& events) override {
    const auto self = handler_->shared_from_this();
    handler_->UseReplacement();
    handler_->OnEvents(head, events);
  }
  void OnStreamComplete(const HttpResponseHead& head) override {
    const auto self = handler_->shared_from_this();
    handler_->UseReplacement();
    handler_->OnStreamComplete(head);
  }
  void OnCompleteResponse(const HttpResponseHead& head,
                          std::string body) override {
    const auto self = handler_->shared_from_this();
    if (head.status >= kInternalError) {
      handler_->state_->placement->ReportStarted(handler_->suspects_,
                                                 SteadyNow());
      handler_->saved_response_ =
          SavedResponse{.head = head, .body = std::move(body)};
      handler_->OnReplacementFailed({.reason = "upstream_error"});
      return;
    }
    handler_->UseReplacement();
    handler_->OnCompleteResponse(head, std::move(body));
  }
  void OnExchangeFailed(const UpstreamExchange::Failure& failure) override {
    handler_->OnReplacementFailed(failure);
  }

 private:
  RequestHandler* handler_;
};

RequestHandler::RequestHandler(GatewayState* state, absl::Time arrived)
    : state_(state),
      telemetry_(state->log, state->metrics),
      arrived_(arrived),
      timeout_(state->loop),
      replacement_listener_(std::make_unique<ReplacementListener>(this)) {}

RequestHandler::~RequestHandler() = default;

void RequestHandler::Start(HttpRequest request, ResponseWriter* writer) {
  writer_ = writer;
  request_ = std::move(request);
  caller_ = state_->codec.ReadRequest(request_);
  arrived_ = std::min(arrived_, SteadyNow());
  telemetry_.OnArrived(caller_.id, arrived_);
  if (!FindRoute())
    return;
  deadline_ = arrived_ + std::min(caller_.time_limit, route_->timeout);
  service_ = PickTarget(
      *route_, std::uniform_real_distribution<double>(0, 1)(state_->random));
  suspects_.request = RequestFingerprintOf(request_.method, request_.target,
                                           account_, request_.body);
  suspects_.parts = caller_.shared_parts;
  telemetry_.OnAdmitted({.route = *route_,
                         .service = service_,
                         .account = account_,
                         .configuration = table_->version(),
                         .prompt_tokens = caller_.prompt_tokens,
                         .shared_parts = caller_.shared_parts,
                         .fingerprint = suspects_.request,
                         .body_bytes = request_.body.size(),
                         .time_limit = deadline_ - arrived_});
  if (!state_->drain.Admits(arrived_) ||
      !state_->drain.CanFinish(PlannedDuration(route_->target_latency),
                               arrived_)) {
    RefuseForShutdown();
    return;
  }
  state_->retries.OnRequest(service_, arrived_);
  state_->requests.insert(this);
  ArmTimeout();
  RequestPlacement();
}

int64_t RequestHandler::PlannedOutputTokens() const {
  if (caller_.expected_output_tokens == 0)
    return caller_.max_output_tokens;
  const double planned =
      static_cast<double>(caller_.expected_output_tokens) * kOutputMargin;
  return std::min(caller_.max_output_tokens, static_cast<int64_t>(planned));
}

absl::Duration RequestHandler::PlannedDuration(
    absl::Duration to_first_event) const {
  const Service* service = table_->FindService(service_);
  if (!service || !service->engine)
    return std::max(to_first_event, route_->target_latency);
  return to_first_event + DecodeTime(*service->engine, PlannedOutputTokens());
}

void RequestHandler::RefuseForShutdown() {
  RespondUnavailable("shutting_down", kShutdownRetryAfter);
}

void RequestHandler::OnDraining() {
  const bool waits = !finished_ && !current_.exchange && !stream_started_;
  if (!waits || state_->drain.CanFinish(PlannedDuration(route_->target_latency),
                                        SteadyNow()))
    return;
  EndAttempt(AttemptResult::kCancelled, 0);
  RefuseForShutdown();
}

void RequestHandler::EndForShutdown() {
  if (finished_)
    return;
  may_have_run_ |= current_.exchange != nullptr;
  EndAttempt(AttemptResult::kCancelled, 0);
  RefuseForShutdown();
}

bool RequestHandler::FindRoute() {
  table_ = state_->table;
  if (!table_) {
    RespondLocally(kUnavailable, state_->configuration_expected_in(),
                   "no_configuration");
    return false;
  }
  route_ = table_->Match(request_.headers.Find("Host"), request_.path());
  if (!route_) {
    RespondLocally(kNotFound, absl::ZeroDuration(), "no_route");
    return false;
  }
  priority_ = route_->priority;
  if (!table_->has_accounts() || route_->anonymous)
    return true;
  const AccountEntry* account = table_->FindAccountByKey(caller_.key);
  if (!account) {
    RespondLocally(kUnauthorized, absl::ZeroDuration(), "unknown_key");
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

absl::Duration RequestHandler::RefusedFor() const {
  return state_->placement->crashing_parts().RefusalTimeLeft(suspects_,
                                                             SteadyNow());
}

bool RequestHandler::RefuseIfCrashing() {
  const absl::Duration refused_for = RefusedFor();
  if (refused_for == absl::ZeroDuration())
    return false;
  EndAttempt(AttemptResult::kCancelled, 0);
  telemetry_.OnRefused({.kind = ScheduleDecision::Kind::kRefuse,
                        .cause = RefusalCause::kCrashesUpstreams,
                        .retry_after = refused_for},
                       state_->placement->membership().self(), SteadyNow());
  RespondUnavailable("crashes_upstreams", refused_for);
  return true;
}

bool RequestHandler::IsAtEvacuated(const Attempt& attempt) const {
  return std::any_of(
      attempt.upstreams.begin(), attempt.upstreams.end(),
      [this](UpstreamKey upstream) { return state_->IsEvacuated(upstream); });
}

void RequestHandler::OnEvacuation() {
  if (finished_)
    return;
  const auto self = shared_from_this();
  if (IsAtEvacuated(replacement_)) {
    if (replacement_.exchange) {
      replacement_.exchange->WithdrawUnsent(kEvacuated);
    } else {
      telemetry_.OnTakenBack("replacement", SteadyNow());
      KeepSilentAttempt();
    }
  }
  if (current_.exchange) {
    if (IsAtEvacuated(current_))
      current_.exchange->WithdrawUnsent(kEvacuated);
    return;
  }
  const bool reserves_there = current_.memory && IsAtEvacuated(current_);
  const bool waits_in_vain =
      !current_.memory && state_->IsServiceEvacuated(service_);
  if (!reserves_there && !waits_in_vain)
    return;
  telemetry_.OnTakenBack(reserves_there ? "reservation" : "waiting",
                         SteadyNow());
  EndAttempt(AttemptResult::kCancelled, 0);
  current_ = {};
  RequestNewPlacement(kEvacuated);
}

bool RequestHandler::RefuseWithoutOpenUpstream() {
  if (state_->IsServiceEvacuated(service_)) {
    // Nobody knows when the operator withdraws the evacuation.
    RespondUnavailable(kEvacuated, absl::ZeroDuration());
    return true;
  }
  const absl::Time now = SteadyNow();
  const absl::Time opens_at =
      state_->FindClosed(service_, now).service_opens_at;
  if (opens_at <= now)
    return false;
  // A time after the caller's limit is no help to the caller.
  const bool is_in_time = opens_at < deadline_;
  RespondUnavailable("upstreams_closed",
                     is_in_time ? opens_at - now : absl::ZeroDuration());
  return true;
}

std::vector<UpstreamKey> RequestHandler::UpstreamsToAvoid() const {
  // Only the first few reach a scheduler at another instance.
  std::vector<UpstreamKey> avoid(avoided_upstreams_.rbegin(),
                                 avoided_upstreams_.rend());
  for (UpstreamKey closed : state_->FindClosed(service_, SteadyNow()).keys)
    avoid.push_back(closed);
  return avoid;
}

void RequestHandler::RequestPlacement() {
  if (!RefuseIfCrashing() && !RefuseWithoutOpenUpstream())
    SubmitToScheduler(&current_);
}

void RequestHandler::SubmitToScheduler(Attempt* attempt) {
  placement_requested_at_ = SteadyNow();
  // The caller of a stream that is resumed waits from the last event on.
  const absl::Time waits_from =
      stream_started_ ? placement_requested_at_ : arrived_;
  WorkRequest work{.service = service_,
                   .prompt_tokens = caller_.prompt_tokens,
                   .output_tokens = PlannedOutputTokens(),
                   .due = arrived_ + route_->target_latency,
                   .deadline = deadline_,
                   .first_event_deadline = waits_from + AbandonTime(),
                   .event_gap = route_->event_gap,
                   .priority = priority_,
                   .avoid = UpstreamsToAvoid(),
                   .account = account_.empty() ? 0 : StableHash(account_),
                   .fingerprint = suspects_.request};
  // Submit may call OnDecision before it returns, so the handler is registered
  // under the next key beforehand.
  const auto self = shared_from_this();
  attempt->work = state_->placement->NextKey();
  state_->handlers[*attempt->work] = this;
  state_->placement->Submit(std::move(work), placement_requested_at_);
  state_->on_request_waiting();
}

void RequestHandler::RequestNewPlacement(const char* reason) {
  if (decisions_ < kMaxDecisions)
    RequestPlacement();
  else
    RespondUnavailable(reason);
}

void RequestHandler::OnDecision(const ScheduleDecision& decision,
                                InstanceIp scheduler) {
  if (finished_)
    return;
  const auto self = shared_from_this();
  ++decisions_;
  if (replacement_.work == decision.key) {
    OnReplacement(decision, scheduler);
    return;
  }
  scheduler_ = scheduler;
  if (decision.kind == ScheduleDecision::Kind::kRefuse) {
    state_->handlers.erase(decision.key);
    current_.work.reset();
    telemetry_.OnRefused(decision, scheduler, SteadyNow());
    RespondUnavailable("no_upstream_in_time", decision.retry_after);
    return;
  }
  // Other instances may have reported crashes while the request waited.
  if (RefuseIfCrashing())
    return;
  const UpstreamRecord* upstream =
      state_->FindOpen(decision.upstream, SteadyNow());
  if (!upstream) {
    EndAttempt(AttemptResult::kCancelled, 0);
    avoided_upstreams_.push_back(decision.upstream);
    telemetry_.OnUpstreamUnknown(decision.upstream);
    // The scheduler does not know of the evacuation.
    if (state_->IsEvacuated(decision.upstream))
      state_->placement->membership().RepeatEvacuations(SteadyNow());
    RequestNewPlacement("upstreams_unknown");
    return;
  }
  if (TimeLeft() < kMinTimeLeft) {
    EndAttempt(AttemptResult::kCancelled, 0);
    RespondUnavailable("no_time_left");
    return;
  }
  if (!stream_started_ &&
      !state_->drain.CanFinish(PlannedDuration(decision.expected),
                               SteadyNow())) {
    EndAttempt(AttemptResult::kCancelled, 0);
    RefuseForShutdown();
    return;
  }
  current_.upstreams = UpstreamsOf(decision);
  if (decision.memory.empty())
    SendCurrent(*upstream, decision);
  else
    ReserveHelperMemory(*upstream, decision);
}

void RequestHandler::SendCurrent(const UpstreamRecord& upstream,
                                 const ScheduleDecision& decision) {
  if (ChargeRetry(&current_)) {
    SendTo(upstream, decision, &current_);
    return;
  }
  EndAttempt(AttemptResult::kCancelled, 0);
  RespondUnavailable("retries_used_up");
}

bool RequestHandler::CanReplace(const ScheduleDecision& decision) const {
  return decision.kind == ScheduleDecision::Kind::kAssign &&
         RefusedFor() == absl::ZeroDuration() &&
         state_->FindOpen(decision.upstream, SteadyNow()) &&
         TimeLeft() >= kMinTimeLeft &&
         (stream_started_ ||
          state_->drain.CanFinish(PlannedDuration(decision.expected),
                                  SteadyNow()));
}

void RequestHandler::OnReplacement(const ScheduleDecision& decision,
                                   InstanceIp scheduler) {
  if (!CanReplace(decision)) {
    if (decision.kind == ScheduleDecision::Kind::kRefuse)
      telemetry_.OnRefused(decision, scheduler, SteadyNow());
    KeepSilentAttempt();
    return;
  }
  scheduler_ = scheduler;
  replacement_.upstreams = UpstreamsOf(decision);
  if (decision.memory.empty()) {
    SendReplacement(decision);
    return;
  }
  replacement_.memory = NewReservation(decision);
  if (!replacement_.memory) {
    KeepSilentAttempt();
    return;
  }
  const std::weak_ptr<RequestHandler> weak = weak_from_this();
  replacement_.memory->Acquire([weak, decision](bool granted) {
    const std::shared_ptr<RequestHandler> self = weak.lock();
    if (!self || self->replacement_.work != decision.key)
      return;
    self->telemetry_.OnMemoryReservation(decision.memory.size(), granted);
    if (granted && self->CanReplace(decision))
      self->SendReplacement(decision);
    else
      self->KeepSilentAttempt();
  });
}

void RequestHandler::SendReplacement(const ScheduleDecision& decision) {
  if (!ChargeRetry(&replacement_)) {
    KeepSilentAttempt();
    return;
  }
  replacement_events_ = events_;
  // The scheduler must not choose the silent upstream for others meanwhile.
  ReportEnd(&current_, AttemptResult::kFault, 0);
  SendTo(*state_->FindOpen(decision.upstream, SteadyNow()), decision,
         &replacement_);
}

void RequestHandler::UseReplacement() {
  ContinueWithReplacement({.reason = "response_overdue"});
}

void RequestHandler::ContinueWithReplacement(
    const UpstreamExchange::Failure& failure) {
  may_have_run_ |= !failure.not_run;
  End(&current_, failure.result, failure.faulty_upstream);
  telemetry_.OnAttemptFailed(current_.sent, failure, /*will_retry=*/true,
                             events_.events(), SteadyNow());
  current_ = std::exchange(replacement_, {});
  events_ = replacement_events_;
  current_.exchange->HandOver(&events_, this);
}

void RequestHandler::OnReplacementFailed(
    const UpstreamExchange::Failure& failure) {
  const auto self = shared_from_this();
  RecordFailure(replacement_, failure);
  End(&replacement_, failure.result, failure.faulty_upstream);
  telemetry_.OnAttemptFailed(replacement_.sent, failure, /*will_retry=*/false,
                             events_.events(), SteadyNow());
  if (!failure.is_local)
    avoided_upstreams_.push_back(UpstreamAtFault(replacement_, failure));
  KeepSilentAttempt();
}

void RequestHandler::KeepSilentAttempt() {
  CancelReplacement();
  ReleaseRetry();
  watchdog_->Start(SteadyNow() + SilenceLimit());
}

void RequestHandler::CancelReplacement() {
  if (!replacement_.work && !replacement_.exchange)
    return;
  End(&replacement_, AttemptResult::kCancelled, 0);
  replacement_ = {};
}

std::shared_ptr<MemoryReservation> RequestHandler::NewReservation(
    const ScheduleDecision& decision) const {
  std::vector<MemoryReservation::Share> shares;
  for (const MemoryShare& share : decision.memory) {
    const UpstreamRecord* holder =
        state_->FindOpen(share.upstream, SteadyNow());
    if (!holder)
      return nullptr;
    shares.push_back({.upstream_id = holder->id,
                      .address = *ParseEndpoint(holder->address),
                      .tokens = share.tokens});
  }
  return std::make_shared<MemoryReservation>(
      state_->loop, state_->codec,
      absl::StrCat("m", decision.key.owner, "-", decision.key.sequence),
      std::move(shares));
}

void RequestHandler::ReserveHelperMemory(const UpstreamRecord& upstream,
                                         const ScheduleDecision& decision) {
  current_.memory = NewReservation(decision);
  if (!current_.memory) {
    telemetry_.OnMemoryReservation(decision.memory.size(), /*granted=*/false);
    EndAttempt(AttemptResult::kCancelled, 0);
    RequestNewPlacement("no_memory");
    return;
  }
  const std::weak_ptr<RequestHandler> weak = weak_from_this();
  current_.memory->Acquire([weak, decision, upstream](bool granted) {
    const std::shared_ptr<RequestHandler> self = weak.lock();
    if (!self || self->finished_)
      return;
    self->telemetry_.OnMemoryReservation(decision.memory.size(), granted);
    const bool is_evacuated =
        self->state_->evacuations.Contains(upstream.data_centre);
    if (granted && !is_evacuated) {
      if (!self->RefuseIfCrashing())
        self->SendCurrent(upstream, decision);
      return;
    }
    self->EndAttempt(AttemptResult::kCancelled, 0);
    self->RequestNewPlacement(is_evacuated ? kEvacuated : "no_memory");
  });
}

std::vector<PromptHelper> RequestHandler::ResolveHelpers(
    const ScheduleDecision& decision,
    const Attempt& attempt) const {
  std::vector<PromptHelper> helpers;
  for (UpstreamKey key : decision.helpers) {
    const UpstreamRecord* record = state_->FindOpen(key, SteadyNow());
    if (!record)
      continue;
    const bool holds_memory = std::any_of(
        decision.memory.begin(), decision.memory.end(),
        [key](const MemoryShare& share) { return share.upstream == key; });
    helpers.push_back(
        {.address = record->address,
         .memory_id = holds_memory ? attempt.memory->id() : std::string()});
  }
  return helpers;
}

void RequestHandler::SendTo(const UpstreamRecord& upstream,
                            const ScheduleDecision& decision,
                            Attempt* attempt) {
  const absl::Time now = SteadyNow();
  attempt->upstream = decision.upstream;
  attempt->incarnation = UpstreamDirectory::IncarnationOf(upstream);
  UpstreamRequestFields request_fields{
      .upstream_id = upstream.id,
      .account = account_,
      .time_left = TimeLeft(),
      .helpers = ResolveHelpers(decision, *attempt)};
  if (!events_.last_event_id().empty())
    request_fields.resume_after = events_.last_event_id();
  attempt->sent = telemetry_.OnAttemptStarted(
      {.upstream_id = upstream.id,
       .address = upstream.address,
       .helpers = JoinAddresses(request_fields.helpers),
       .scheduler = scheduler_,
       .decided_after = now - placement_requested_at_,
       .upstreams_age = now - state_->upstreams_updated_at,
       .expected = decision.expected,
       .time_left = request_fields.time_left},
      now);
  const bool is_replacement = attempt == &replacement_;
  UpstreamExchange::Listener* listener = this;
  if (is_replacement)
    listener = replacement_listener_.get();
  attempt->exchange = std::make_shared<UpstreamExchange>(
      UpstreamExchange::Options{
          .upstream = attempt->upstream,
          .address = *ParseEndpoint(upstream.address),
          .request_id = caller_.id,
          .is_retryable = route_->IsRetryable(),
          .expects_stream = route_->repeatability == Repeatability::kStreaming,
          .resumes_stream = stream_started_,
          .head_only = absl::EqualsIgnoreCase(request_.method, "HEAD")},
      UpstreamExchange::Shared{.codec = state_->codec,
                               .pool = state_->pool,
                               .directory = state_->upstreams,
                               .memory = state_->memory},
      is_replacement ? &replacement_events_ : &events_, listener);
  ArmWatchdog(decision.expected, now);
  attempt->exchange->Send(absl::StrCat(
      state_->codec.UpstreamHead(request_, request_fields), request_.body));
  attempt->exchange->PauseReading(has_backlog_);
}

absl::Duration RequestHandler::AbandonTime() const {
  if (caller_.prompt_tokens == 0)
    return absl::InfiniteDuration();
  return std::max({kMinAbandonTime, route_->target_latency * kAbandonLatencies,
                   route_->event_gap * kAbandonGaps});
}

absl::Duration RequestHandler::SilenceLimit() const {
  if (caller_.prompt_tokens == 0)
    return route_->target_latency * kOverdueFactor;
  // A stream that cannot be resumed has nothing to gain from an end.
  if (!route_->IsRetryable())
    return absl::InfiniteDuration();
  return AbandonTime() * kSilenceShare;
}

void RequestHandler::ArmWatchdog(absl::Duration expected, absl::Time now) {
  const absl::Duration limit =
      std::max(SilenceLimit(), expected * kExpectedFactor);
  if (limit == absl::InfiniteDuration())
    return;
  if (!watchdog_) {
    watchdog_ = std::make_unique<ResponseWatchdog>(
        state_->loop, [weak = weak_from_this()] {
          if (const auto self = weak.lock())
            self->OnResponseOverdue();
        });
  }
  watchdog_->Start(now + limit);
}

void RequestHandler::BeginStream(const HttpResponseHead& head) {
  if (stream_started_)
    return;
  stream_started_ = true;
  writer_->BeginStream(head.status, ForwardedHeaders(head));
}

void RequestHandler::OnAnnouncement(const ResponseClassification& response) {
  RecordAnnouncement(current_, response);
}

void RequestHandler::RecordAnnouncement(
    const Attempt& attempt,
    const ResponseClassification& response) {
  const absl::Time now = SteadyNow();
  if (response.leaving && state_->announcements.OnLeaving(
                              attempt.upstream, attempt.incarnation, now)) {
    telemetry_.OnUpstreamLeaving(attempt.sent);
    state_->on_upstream_leaving();
  }
  if (response.rest) {
    state_->announcements.OnRest(attempt.upstream, attempt.incarnation,
                                 *response.rest, now);
    telemetry_.OnUpstreamRests(attempt.sent, *response.rest);
  }
  if (!response.unusable_rest.empty())
    telemetry_.OnUnusableRest(attempt.sent, response.unusable_rest);
  RecordRequestLimit(attempt, response, now);
}

void RequestHandler::RecordRequestLimit(const Attempt& attempt,
                                        const ResponseClassification& response,
                                        absl::Time now) {
  // What cannot be read does not say that the upstream has no limit.
  if (!response.unusable_limit.empty()) {
    telemetry_.OnUnusableLimit(attempt.sent, response.unusable_limit);
    return;
  }
  const bool has_changed = state_->placement->ReportLimit(
      attempt.upstream, attempt.incarnation, response.request_limit,
      attempt.sent.sent_at, now);
  if (has_changed)
    telemetry_.OnUpstreamLimit(attempt.sent, response.request_limit);
}

void RequestHandler::OnEvents(const HttpResponseHead& head,
                              const std::string& events) {
  const auto self = shared_from_this();
  const absl::Time now = SteadyNow();
  BeginStream(head);
  CancelReplacement();
  ReleaseRetry();
  telemetry_.OnEvents(current_.sent, route_->target_latency, now);
  if (watchdog_)
    watchdog_->Extend(now + SilenceLimit());
  if (!current_.response_start_reported) {
    current_.response_start_reported = true;
    // Empty once the attempt was reported as silent.
    if (current_.work)
      state_->placement->OnResponseStarted(*current_.work, now);
    state_->placement->ReportStarted(suspects_, now);
  }
  writer_->SendChunk(events);
}

void RequestHandler::OnStreamComplete(const HttpResponseHead& head) {
  const auto self = shared_from_this();
  BeginStream(head);
  EndAttempt(AttemptResult::kDone, 0);
  writer_->EndStream();
  Finish(head.status, "stream_complete");
}

void RequestHandler::OnCompleteResponse(const HttpResponseHead& head,
                                        std::string body) {
  const auto self = shared_from_this();
  state_->placement->ReportStarted(suspects_, SteadyNow());
  if (head.status >= kInternalError) {
    saved_response_ = SavedResponse{.head = head, .body = std::move(body)};
    OnExchangeFailed({.reason = "upstream_error"});
    return;
  }
  EndAttempt(AttemptResult::kDone, 0);
  writer_->SendComplete(head.status, ForwardedHeaders(head), body);
  Finish(head.status, "answered");
}

void RequestHandler::EndAttempt(AttemptResult result,
                                UpstreamKey faulty_upstream) {
  CancelReplacement();
  if (watchdog_)
    watchdog_->Stop();
  End(&current_, result, faulty_upstream);
}

void RequestHandler::End(Attempt* attempt,
                         AttemptResult result,
                         UpstreamKey faulty_upstream) {
  if (attempt->exchange) {
    telemetry_.OnBodyEnded(attempt->exchange->body_end());
    attempt->exchange->Cancel();
  }
  attempt->exchange.reset();
  if (attempt->memory)
    attempt->memory->Release();
  attempt->memory.reset();
  ReportEnd(attempt, result, faulty_upstream);
}

void RequestHandler::ReportEnd(Attempt* attempt,
                               AttemptResult result,
                               UpstreamKey faulty_upstream) {
  if (!attempt->work)
    return;
  const WorkKey key = *std::exchange(attempt->work, std::nullopt);
  state_->handlers.erase(key);
  state_->placement->OnEnded(key, result, faulty_upstream, SteadyNow());
}

bool RequestHandler::CanRetry(const UpstreamExchange::Failure& failure) {
  if (failure.is_local || (!failure.not_run && !route_->IsRetryable()))
    return false;
  // A stream that has started can be resumed only after an event with an id.
  if (stream_started_ && events_.last_event_id().empty())
    return false;
  if (TimeLeft() < kMinTimeLeft)
    return false;
  // What was not sent reached no upstream, and counts against no limit on
  // requests that do.
  if (failure.not_sent)
    return decisions_ < kMaxDecisions;
  if (telemetry_.attempts() - unsent_attempts_ >= route_->max_attempts)
    return false;
  return ReserveRetry();
}

bool RequestHandler::ReserveRetry() {
  if (has_reserved_retry_)
    return true;
  const absl::Time now = SteadyNow();
  const RetryWindow::InstanceCount instances =
      state_->placement->membership().SharingInstances(now);
  const RetryWindow::Budget budget =
      state_->retries.BudgetOf(service_, instances, now);
  has_reserved_retry_ = state_->retries.Reserve(service_, instances, now);
  telemetry_.OnRetryDecided(has_reserved_retry_, budget, instances);
  return has_reserved_retry_;
}

void RequestHandler::ReleaseRetry() {
  if (std::exchange(has_reserved_retry_, false))
    state_->retries.Release(service_);
}

bool RequestHandler::ChargeRetry(Attempt* attempt) {
  const bool is_first = telemetry_.attempts() == unsent_attempts_;
  if (is_first)
    return true;
  ReleaseRetry();
  const absl::Time now = SteadyNow();
  const RetryWindow::InstanceCount instances =
      state_->placement->membership().SharingInstances(now);
  const RetryWindow::Budget budget =
      state_->retries.BudgetOf(service_, instances, now);
  if (!state_->retries.Spend(service_, instances, now)) {
    telemetry_.OnRetryDecided(/*granted=*/false, budget, instances);
    return false;
  }
  attempt->charged_at = now;
  return true;
}

void RequestHandler::RecordFailure(const Attempt& attempt,
                                   const UpstreamExchange::Failure& failure) {
  may_have_run_ |= !failure.not_run;
  unsent_attempts_ += failure.not_sent ? 1 : 0;
  if (failure.not_sent && attempt.charged_at)
    state_->retries.Refund(service_, *attempt.charged_at);
  // A kept connection that breaks at once may have been closed while idle, or
  // the upstream has ended under the request. It is evidence on the request,
  // which a response clears, but none on the upstream.
  const bool may_be_crash =
      failure.result == AttemptResult::kCrash || failure.kept_connection;
  if (may_be_crash && !attempt.response_start_reported) {
    state_->placement->ReportCrash(suspects_, attempt.incarnation,
                                   attempt.sent.sent_at, SteadyNow());
  }
}

UpstreamKey RequestHandler::UpstreamAtFault(
    const Attempt& attempt,
    const UpstreamExchange::Failure& failure) {
  return failure.faulty_upstream != 0 ? failure.faulty_upstream
                                      : attempt.upstream;
}

void RequestHandler::OnExchangeFailed(
    const UpstreamExchange::Failure& failure) {
  const auto self = shared_from_this();
  RecordFailure(current_, failure);
  if (replacement_.exchange) {
    ContinueWithReplacement(failure);
    return;
  }
  if (CanRetry(failure)) {
    Retry(failure);
    return;
  }
  EndAttempt(failure.result, failure.faulty_upstream);
  telemetry_.OnAttemptFailed(current_.sent, failure, /*will_retry=*/false,
                             events_.events(), SteadyNow());
  RespondUnavailable(failure.reason);
}

void RequestHandler::Retry(const UpstreamExchange::Failure& failure) {
  EndAttempt(failure.result, failure.faulty_upstream);
  telemetry_.OnAttemptFailed(current_.sent, failure, /*will_retry=*/true,
                             events_.events(), SteadyNow());
  avoided_upstreams_.push_back(UpstreamAtFault(current_, failure));
  current_ = {};
  RequestPlacement();
}

void RequestHandler::OnBacklog(bool has_backlog) {
  has_backlog_ = has_backlog;
  if (current_.exchange)
    current_.exchange->PauseReading(has_backlog);
}

void RequestHandler::OnResponseOverdue() {
  if (finished_ || !current_.exchange)
    return;
  // The upstream is silent because it is not read.
  if (has_backlog_) {
    watchdog_->Start(SteadyNow() + SilenceLimit());
    return;
  }
  const UpstreamExchange::Failure failure{.reason = "response_overdue"};
  if (replacement_.exchange)
    ContinueWithReplacement(failure);
  if (replacement_.work || !CanRetry(failure))
    return;
  avoided_upstreams_.push_back(current_.upstream);
  SubmitToScheduler(&replacement_);
}

void RequestHandler::RespondUnavailable(const char* reason,
                                        absl::Duration retry_after) {
  if (stream_started_) {
    writer_->Abort();
    Finish(0, reason);
    return;
  }
  if (saved_response_) {
    writer_->SendComplete(saved_response_->head.status,
                          ForwardedHeaders(saved_response_->head),
                          saved_response_->body);
    Finish(saved_response_->head.status, reason);
    return;
  }
  if (may_have_run_)
    RespondLocally(kBadGateway, absl::ZeroDuration(), reason);
  else
    RespondLocally(kUnavailable, retry_after, reason);
}

void RequestHandler::RespondLocally(int status,
                                    absl::Duration retry_after,
                                    const char* reason) {
  HttpHeaders headers = state_->codec.OwnResponseHeaders(caller_.id);
  if (retry_after > absl::ZeroDuration()) {
    headers.Add("Retry-After",
                absl::StrCat(absl::ToDoubleSeconds(retry_after)));
  }
  writer_->SendComplete(status, headers, "");
  Finish(status, reason);
}

void RequestHandler::OnTimeout() {
  const auto self = shared_from_this();
  const bool had_attempt = current_.exchange != nullptr;
  may_have_run_ |= had_attempt && !current_.exchange->has_head();
  EndAttempt(had_attempt ? AttemptResult::kFault : AttemptResult::kCancelled,
             0);
  if (stream_started_ || saved_response_ || !(may_have_run_ || had_attempt)) {
    RespondUnavailable("timeout");
    return;
  }
  RespondLocally(kGatewayTimeout, absl::ZeroDuration(), "timeout");
}

void RequestHandler::OnCallerDisconnected() {
  if (finished_)
    return;
  const auto self = shared_from_this();
  // While a replacement is under way, the watchdog waits for that one.
  const bool was_overdue =
      current_.exchange && watchdog_ &&
      (replacement_.work || watchdog_->IsOverdue(SteadyNow()));
  EndAttempt(was_overdue ? AttemptResult::kFault : AttemptResult::kCancelled,
             0);
  Finish(0, "caller_left");
}

void RequestHandler::Finish(int status, const char* reason) {
  finished_ = true;
  ReleaseRetry();
  state_->requests.erase(this);
  timeout_.cancel();
  if (watchdog_)
    watchdog_->Stop();
  telemetry_.OnEnded(status, reason, events_.events(), SteadyNow());
}

}  // namespace chicory
