#include "modules/gateway/request_run.h"

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
constexpr int kBadRequest = 400;
constexpr int kInternalError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Until the configuration is likely to have come. */
constexpr absl::Duration kUnconfiguredRetry = absl::Milliseconds(300);
constexpr absl::Duration kRefusedRetry = absl::Milliseconds(500);
/** A send that leaves the upstream less time than this is not worth it. */
constexpr absl::Duration kLeastTime = absl::Milliseconds(30);
/** Decisions that may be lost to a list of upstreams that has moved on. */
constexpr int kMaxDecisions = 8;
/** Upstreams that a request may crash before it is refused. */
constexpr uint32_t kMaxCrashes = 3;
/** Expected output over the caller's estimate. */
constexpr double kOutputMargin = 1.2;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

/** Addresses of helpers for the log; `none` when there are none. */
std::string HelperText(const std::vector<PromptHelper>& helpers) {
  if (helpers.empty())
    return "none";
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

RequestRun::RequestRun(GatewayState* state)
    : state_(state), timeout_(state->loop) {}

RequestRun::~RequestRun() = default;

void RequestRun::Start(HttpRequest request, AnswerSink* sink) {
  sink_ = sink;
  request_ = std::move(request);
  caller_ = state_->codec.ReadRequest(request_);
  arrived_ = SteadyNow();
  if (!FindRoute())
    return;
  deadline_ = arrived_ + std::min(caller_.patience, route_->timeout);
  service_ = PickTarget(
      *route_, std::uniform_real_distribution<double>(0, 1)(state_->random));
  fingerprint_ = StableHash(request_.body,
                            StableHash(request_.target, StableHash(account_)));
  state_->log.WriteDetail(
      "request_admitted",
      {{"request", caller_.id},
       {"route", route_->name},
       {"service", service_},
       {"account", account_},
       {"configuration", table_->version()},
       {"prompt_tokens", caller_.prompt_tokens},
       {"patience_ms", absl::ToInt64Milliseconds(deadline_ - arrived_)}});
  const uint32_t crashes = state_->crashes.Deaths(fingerprint_, arrived_);
  if (crashes >= kMaxCrashes) {
    AnswerOwn(kBadGateway, absl::ZeroDuration(), "crashes_upstreams");
    return;
  }
  state_->retries.OnRequest(service_, arrived_);
  ArmTimeout();
  AskForUpstream();
}

bool RequestRun::FindRoute() {
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
  const AccountEntry* account = table_->AccountOfKey(caller_.key);
  if (!account) {
    AnswerOwn(kUnauthorized, absl::ZeroDuration(), "unknown_key");
    return false;
  }
  account_ = account->name;
  priority_ = account->priority.value_or(route_->priority);
  return true;
}

absl::Duration RequestRun::TimeLeft() const {
  return deadline_ - SteadyNow();
}

void RequestRun::ArmTimeout() {
  timeout_.expires_at(ToSteady(deadline_));
  timeout_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->finished_)
          self->OnTimeout();
      });
}

void RequestRun::AskForUpstream() {
  const absl::Time now = SteadyNow();
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
      .avoid = avoid_};
  // The decision may come from within Submit, before the key is known here.
  const auto self = shared_from_this();
  work_ = state_->placement->NextKey();
  state_->runs[*work_] = this;
  state_->placement->Submit(std::move(work), now);
  state_->on_waiting();
}

void RequestRun::OnDecision(const ScheduleDecision& decision) {
  if (finished_)
    return;
  const auto self = shared_from_this();
  ++decisions_;
  if (decision.kind == ScheduleDecision::Kind::kRefuse) {
    state_->runs.erase(decision.key);
    work_.reset();
    AnswerWithoutUpstream("no_upstream_in_time");
    return;
  }
  const UpstreamRecord* upstream =
      state_->upstreams.FindReady(decision.upstream);
  if (!upstream) {
    EndSend(SendResult::kCancelled, 0);
    avoid_.push_back(decision.upstream);
    state_->log.WriteDetail(
        "upstream_unknown_here",
        {{"request", caller_.id}, {"upstream", decision.upstream}});
    if (decisions_ < kMaxDecisions)
      AskForUpstream();
    else
      AnswerWithoutUpstream("upstreams_unknown");
    return;
  }
  if (TimeLeft() < kLeastTime) {
    EndSend(SendResult::kCancelled, 0);
    AnswerWithoutUpstream("no_time_left");
    return;
  }
  if (decision.memory.empty())
    SendTo(*upstream, decision);
  else
    HoldMemory(*upstream, decision);
}

void RequestRun::HoldMemory(const UpstreamRecord& upstream,
                            const ScheduleDecision& decision) {
  std::vector<MemoryHold::Share> shares;
  for (const MemoryShare& share : decision.memory) {
    const UpstreamRecord* holder = state_->upstreams.FindReady(share.upstream);
    if (!holder)
      continue;
    shares.push_back({.upstream_id = holder->id,
                      .address = *ParseEndpoint(holder->address),
                      .tokens = share.tokens});
  }
  memory_ = std::make_shared<MemoryHold>(
      state_->loop, state_->codec,
      absl::StrCat("m", decision.key.owner, "-", decision.key.sequence),
      std::move(shares));
  const std::weak_ptr<RequestRun> weak = weak_from_this();
  memory_->Acquire([weak, decision, upstream](bool held) {
    const std::shared_ptr<RequestRun> self = weak.lock();
    if (!self || self->finished_)
      return;
    self->state_->log.WriteDetail("memory_asked",
                                  {{"request", self->caller_.id},
                                   {"engines", decision.memory.size()},
                                   {"held", held ? 1 : 0}});
    if (held) {
      self->SendTo(upstream, decision);
      return;
    }
    self->EndSend(SendResult::kCancelled, 0);
    if (self->decisions_ < kMaxDecisions)
      self->AskForUpstream();
    else
      self->AnswerWithoutUpstream("no_memory");
  });
}

std::vector<PromptHelper> RequestRun::Helpers(
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

void RequestRun::SendTo(const UpstreamRecord& upstream,
                        const ScheduleDecision& decision) {
  const absl::Time now = SteadyNow();
  const Endpoint address = *ParseEndpoint(upstream.address);
  ++sends_;
  upstream_ = decision.upstream;
  upstream_id_ = upstream.id;
  sent_at_ = now;
  head_judged_ = false;
  whole_body_.clear();
  connection_ =
      state_->pool.Acquire(upstream_, address, !route_->MayRunAgain(), now);
  UpstreamSend send{.upstream_id = upstream.id,
                    .account = account_,
                    .time_left = TimeLeft(),
                    .helpers = Helpers(decision)};
  if (!events_.last_event_id().empty())
    send.resume_after = events_.last_event_id();
  events_.TakeRest();
  state_->log.WriteDetail(
      "request_sent",
      {{"request", caller_.id},
       {"upstream", upstream.id},
       {"address", upstream.address},
       {"send", sends_},
       {"helpers", HelperText(send.helpers)},
       {"waited_ms", absl::ToInt64Milliseconds(now - arrived_)},
       {"expected_ms", absl::ToInt64Milliseconds(decision.expected)},
       {"time_left_ms", absl::ToInt64Milliseconds(send.time_left)}});
  connection_->Exchange(
      absl::StrCat(state_->codec.UpstreamHead(request_, send), request_.body),
      absl::EqualsIgnoreCase(request_.method, "HEAD"), this);
}

void RequestRun::OnResponse(HttpResponseParser& parser) {
  if (!parser.has_head())
    return;
  const auto self = shared_from_this();
  if (!head_judged_ && !JudgeHead(parser.head()))
    return;
  head_judged_ = true;
  if (is_stream_)
    RelayStream(parser);
  else
    RelayWhole(parser);
}

bool RequestRun::JudgeHead(const HttpResponseHead& head) {
  const UpstreamVerdict verdict = state_->codec.Judge(head, caller_.id);
  keep_alive_ = verdict.keep_alive;
  const UpstreamKey fault_at =
      verdict.faulty_address.empty()
          ? 0
          : state_->upstreams.KeyOfAddress(verdict.faulty_address);
  if (!verdict.matches) {
    OnSendFailed({.reason = "answer_to_another_request"});
    return false;
  }
  if (verdict.not_run && head.status != kBadRequest) {
    OnSendFailed({.reason = "upstream_refused",
                  .not_run = true,
                  .result = SendResult::kFull,
                  .fault_at = fault_at});
    return false;
  }
  if (IsSuccess(head.status) && !verdict.is_signed) {
    OnSendFailed({.reason = "unsigned_answer"});
    return false;
  }
  is_stream_ = IsSuccess(head.status) &&
               route_->repeatability == Repeatability::kStreaming;
  if (stream_begun_ && !is_stream_) {
    OnSendFailed({.reason = "resume_refused", .fault_at = fault_at});
    return false;
  }
  return true;
}

void RequestRun::RelayStream(HttpResponseParser& parser) {
  events_.Add(parser.TakeBody());
  std::string bytes = events_.TakeEvents();
  const bool complete = parser.state() == ParseState::kComplete;
  if (complete)
    bytes.append(events_.TakeRest());
  if (!stream_begun_ && (!bytes.empty() || complete)) {
    stream_begun_ = true;
    sink_->BeginStream(parser.head().status, ForwardedHeaders(parser.head()));
  }
  if (!bytes.empty()) {
    const absl::Time now = SteadyNow();
    if (first_part_told_)
      longest_gap_ = std::max(longest_gap_, now - last_event_);
    last_event_ = now;
    if (!first_part_told_) {
      first_part_told_ = true;
      state_->log.WriteDetail(
          "first_event",
          {{"request", caller_.id},
           {"upstream", upstream_id_},
           {"after_send_ms", absl::ToInt64Milliseconds(now - sent_at_)},
           {"after_arrival_ms", absl::ToInt64Milliseconds(now - arrived_)},
           {"target_ms", absl::ToInt64Milliseconds(route_->target_latency)}});
      if (work_)
        state_->placement->OnFirstPart(*work_, now);
    }
    sink_->SendPiece(bytes);
  }
  if (!complete || finished_)
    return;
  // The released connection, and with it the parser, may serve another request
  // from within EndSend.
  const int status = parser.head().status;
  state_->crashes.OnCompleted(fingerprint_, SteadyNow());
  ReleaseConnection();
  EndSend(SendResult::kDone, 0);
  sink_->EndStream();
  Finish(status, "stream_complete");
}

void RequestRun::RelayWhole(HttpResponseParser& parser) {
  whole_body_.append(parser.TakeBody());
  if (parser.state() != ParseState::kComplete)
    return;
  const HttpResponseHead head = parser.head();
  const bool failed = head.status >= kInternalError;
  ReleaseConnection();
  if (failed) {
    saved_ = SavedAnswer{.head = head, .body = whole_body_};
    OnSendFailed({.reason = "upstream_error"});
    return;
  }
  state_->crashes.OnCompleted(fingerprint_, SteadyNow());
  EndSend(SendResult::kDone, 0);
  sink_->SendWhole(head.status, ForwardedHeaders(head), whole_body_);
  Finish(head.status, "answered");
}

void RequestRun::OnFailure(HttpClientConnection::Failure failure) {
  const auto self = shared_from_this();
  connection_.reset();
  if (failure == HttpClientConnection::Failure::kConnect) {
    OnSendFailed({.reason = "no_connection", .not_run = true});
    return;
  }
  OnSendFailed({.reason = "connection_broken", .is_crash = true});
}

void RequestRun::DropConnection() {
  if (connection_)
    connection_->Close();
  connection_.reset();
}

void RequestRun::ReleaseConnection() {
  if (!connection_)
    return;
  if (connection_->IsReusable()) {
    state_->pool.Release(upstream_, std::move(connection_), keep_alive_,
                         SteadyNow());
  }
  DropConnection();
}

void RequestRun::EndSend(SendResult result, UpstreamKey fault_at) {
  DropConnection();
  if (memory_)
    memory_->Release();
  memory_.reset();
  if (!work_)
    return;
  const WorkKey key = *std::exchange(work_, std::nullopt);
  state_->runs.erase(key);
  state_->placement->OnEnded(key, result, fault_at, SteadyNow());
}

bool RequestRun::MaySendAgain(const SendFailure& failure) {
  if (!failure.not_run && !route_->MayRunAgain())
    return false;
  // A stream that was begun can only go on after an event with an id.
  if (stream_begun_ && events_.last_event_id().empty())
    return false;
  if (sends_ >= route_->max_attempts || TimeLeft() < kLeastTime)
    return false;
  const absl::Time now = SteadyNow();
  return state_->retries.Spend(service_, state_->placement->LiveInstances(now),
                               now);
}

void RequestRun::OnSendFailed(const SendFailure& failure) {
  const auto self = shared_from_this();
  const absl::Time now = SteadyNow();
  may_have_run_ |= !failure.not_run;
  // Requests without a body are too alike to be told apart.
  if (failure.is_crash && !request_.body.empty())
    state_->crashes.OnDeath(fingerprint_, now);
  const bool again = MaySendAgain(failure);
  state_->log.Write("send_failed",
                    {{"request", caller_.id},
                     {"upstream", upstream_id_},
                     {"reason", failure.reason},
                     {"not_run", failure.not_run ? 1 : 0},
                     {"send", sends_},
                     {"after_ms", absl::ToInt64Milliseconds(now - sent_at_)},
                     {"events", events_.events()},
                     {"again", again ? 1 : 0}});
  state_->counters.Add(absl::StrCat("chicory_failed_sends_total{reason=\"",
                                    failure.reason, "\"}"));
  avoid_.push_back(failure.fault_at != 0 ? failure.fault_at : upstream_);
  EndSend(failure.result, failure.fault_at);
  if (again) {
    first_part_told_ = false;
    AskForUpstream();
    return;
  }
  AnswerWithoutUpstream(failure.reason);
}

void RequestRun::AnswerWithoutUpstream(const char* reason) {
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
    AnswerOwn(kUnavailable, kRefusedRetry, reason);
}

void RequestRun::AnswerOwn(int status,
                           absl::Duration retry_after,
                           const char* reason) {
  HttpHeaders headers = state_->codec.OwnAnswerHeaders(caller_.id);
  if (retry_after > absl::ZeroDuration()) {
    headers.Add("Retry-After",
                absl::StrCat(absl::ToDoubleSeconds(retry_after)));
  }
  sink_->SendWhole(status, headers, "");
  Finish(status, reason);
}

void RequestRun::OnTimeout() {
  const auto self = shared_from_this();
  if (connection_ && !head_judged_)
    may_have_run_ = true;
  const bool was_sent = connection_ != nullptr;
  EndSend(was_sent ? SendResult::kFault : SendResult::kCancelled, 0);
  if (stream_begun_ || saved_ || !(may_have_run_ || was_sent)) {
    AnswerWithoutUpstream("timeout");
    return;
  }
  AnswerOwn(kGatewayTimeout, absl::ZeroDuration(), "timeout");
}

void RequestRun::OnCallerLeft() {
  if (finished_)
    return;
  const auto self = shared_from_this();
  EndSend(SendResult::kCancelled, 0);
  Finish(0, "caller_left");
}

void RequestRun::Finish(int status, const char* reason) {
  finished_ = true;
  timeout_.cancel();
  const absl::Duration took = SteadyNow() - arrived_;
  state_->log.WriteDetail(
      "request_ended",
      {{"request", caller_.id},
       {"status", status},
       {"reason", reason},
       {"sends", sends_},
       {"events", events_.events()},
       {"longest_gap_ms", absl::ToInt64Milliseconds(longest_gap_)},
       {"took_ms", absl::ToInt64Milliseconds(took)}});
  state_->counters.Add(absl::StrCat("chicory_requests_total{status=\"", status,
                                    "\",reason=\"", reason, "\"}"));
}

}  // namespace chicory
