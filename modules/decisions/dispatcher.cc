#include "modules/decisions/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

/** Consecutive failures that open the circuit breaker of an upstream. */
constexpr int kCircuitBreakerThreshold = 1;

/** Consecutive load polls without a response that count as a failure. */
constexpr int kMaxFailedLoadPolls = 3;

/** Initial and longest time for which the circuit breaker stays open. */
constexpr absl::Duration kCircuitBreakerBaseDelay = absl::Milliseconds(500);
constexpr absl::Duration kCircuitBreakerMaxDelay = absl::Seconds(30);

/** Added to the backoff of a request whose upstream died, so that the other
    instances receive the death count before it runs again. */
constexpr absl::Duration kCrashSuspectDelay = absl::Seconds(1);

/** Interval at which placement is repeated for all non-empty queues. */
constexpr absl::Duration kQueueScanInterval = absl::Milliseconds(10);

/** Waiting requests of one level that a later request may overtake in one
    placement round. */
constexpr int kMaxOvertakenRequests = 4;

/** Share of its first-token bound after which a waiting request is no longer
    overtaken. */
constexpr double kMaxOvertakableWaitShare = 0.5;

/** Range of the retry-after hint for refused requests. */
constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

std::string QueueKey(const RequestSpec& spec) {
  return absl::StrCat(spec.pool, "\n", spec.model);
}

}  // namespace

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options)),
      retry_budget_(options_.retries.retry_share),
      crash_tracker_(options_.instance) {
  assert(options_.model_placement != nullptr);
  assert(options_.service_placement != nullptr);
}

void Dispatcher::OnRetryRules(const RetryRules& rules) {
  options_.retries = rules;
  retry_budget_.set_ratio(rules.retry_share);
}

UpstreamId Dispatcher::OnUpstreamListed(const UpstreamRow& listed) {
  const UpstreamRow* existing = upstreams_.FindByName(listed.name);
  const bool address_changed =
      existing != nullptr && existing->address != listed.address;
  const UpstreamId id = upstreams_.Upsert(listed);
  // A new address means a new process, to which the old state does not apply.
  if (address_changed)
    upstreams_.SetState(id, UpstreamState::kLive);
  return id;
}

void Dispatcher::OnUpstreamState(const std::string& name, UpstreamState state) {
  UpstreamRow* row = upstreams_.FindByName(name);
  if (row == nullptr || row->state == state)
    return;
  // A lagging instance list must not reinstate an upstream that is leaving.
  if (state == UpstreamState::kLive && row->state != UpstreamState::kGone)
    return;
  upstreams_.SetState(row->id, state);
}

void Dispatcher::OnLoadReport(UpstreamId upstream, const LoadReport& report) {
  UpstreamRow* row = upstreams_.Find(upstream);
  if (row == nullptr)
    return;
  const bool restarted = row->report.incarnation != 0 &&
                         report.incarnation > row->report.incarnation;
  if (restarted) {
    prefix_index_.OnRestart(upstream);
    if (row->state != UpstreamState::kLive && !report.leaving)
      upstreams_.SetState(upstream, UpstreamState::kLive);
  }
  if (report.leaving && row->state != UpstreamState::kLeaving &&
      report.incarnation >= row->report.incarnation) {
    upstreams_.SetState(upstream, UpstreamState::kLeaving);
    if (listener_ != nullptr)
      listener_->OnUpstreamStateObserved(row->name, UpstreamState::kLeaving);
  }
  row->failed_polls = 0;
  upstreams_.ApplyReport(upstream, report);
  for (const std::string& model : row->models)
    changed_queues_.insert(absl::StrCat(row->pool, "\n", model));
}

void Dispatcher::OnLoadReportFrom(const std::string& name,
                                  const LoadReport& report) {
  if (const UpstreamRow* row = upstreams_.FindByName(name))
    OnLoadReport(row->id, report);
}

bool Dispatcher::OnLoadPollFailed(const std::string& name,
                                  absl::Time now,
                                  absl::BitGenRef random) {
  UpstreamRow* row = upstreams_.FindByName(name);
  if (row == nullptr || ++row->failed_polls < kMaxFailedLoadPolls)
    return false;
  row->failed_polls = 0;
  OnUpstreamFailure(row->id, now, random);
  return true;
}

void Dispatcher::OnCacheEvent(UpstreamId upstream,
                              uint64_t sequence,
                              uint64_t block,
                              bool stored) {
  prefix_index_.OnEvent(upstream, sequence, block, stored);
}

void Dispatcher::OnDeathCountReceived(uint64_t fingerprint,
                                      const std::string& instance,
                                      uint32_t deaths,
                                      absl::Time now) {
  const bool was_cleared =
      crash_tracker_.OnCountReceived(fingerprint, instance, deaths, now);
  if (was_cleared && listener_ != nullptr)
    listener_->OnDeathCountChanged(fingerprint, 0);
}

RequestQueue& Dispatcher::QueueOf(const RequestSpec& spec) {
  std::unique_ptr<RequestQueue>& queue = queues_[QueueKey(spec)];
  if (queue == nullptr)
    queue = std::make_unique<RequestQueue>();
  return *queue;
}

void Dispatcher::AddTimer(absl::Time due,
                          TimerKind kind,
                          RequestId request,
                          UpstreamId upstream) {
  timers_.push({due, kind, request, upstream});
}

void Dispatcher::Enqueue(RequestRow* row) {
  row->phase = RequestPhase::kQueued;
  QueueOf(row->spec).Push(row);
  changed_queues_.insert(QueueKey(row->spec));
}

void Dispatcher::OnArrival(const RequestSpec& spec, absl::Time now) {
  assert(requests_.count(spec.id) == 0);
  RequestRow& row = requests_[spec.id];
  row.spec = spec;
  const uint32_t deaths = crash_tracker_.Deaths(spec.fingerprint, now);
  if (deaths >= static_cast<uint32_t>(options_.retries.max_deaths)) {
    Refuse(&row, RefusalReason::kCrashesUpstreams, absl::ZeroDuration());
    return;
  }
  row.crash_suspect = deaths > 0;
  if (now >= spec.deadline) {
    Refuse(&row, RefusalReason::kDeadlineExceeded, absl::ZeroDuration());
    return;
  }
  retry_budget_.Deposit(spec.account, spec.route);
  AddTimer(spec.deadline, TimerKind::kDeadline, spec.id);
  if (options_.refuse_early) {
    AddTimer(std::min(spec.deadline, now + spec.first_token_within),
             TimerKind::kQueueLimit, spec.id);
  }
  Enqueue(&row);
  new_requests_.push_back(spec.id);
}

void Dispatcher::RefuseExcess() {
  for (RequestId id : std::exchange(new_requests_, {})) {
    auto found = requests_.find(id);
    if (found == requests_.end() ||
        found->second.phase != RequestPhase::kQueued) {
      continue;
    }
    const RequestRow& row = found->second;
    RequestQueue& queue = QueueOf(row.spec);
    const absl::Duration wait = queue.EstimatedWait(row.queue_level);
    const bool too_long =
        options_.refuse_early && wait > row.spec.first_token_within;
    if (!too_long && queue.size() <= options_.max_queued)
      continue;
    // Refuses the last request of the level by fair share, which need not be
    // the new one.
    const RequestId last = queue.level(row.queue_level).rbegin()->second;
    Refuse(&requests_.at(last), RefusalReason::kOverloaded, wait);
  }
}

void Dispatcher::OnFirstToken(RequestId request, uint64_t attempt) {
  auto found = requests_.find(request);
  if (found == requests_.end() || found->second.attempt != attempt)
    return;
  for (UpstreamId upstream : found->second.upstreams)
    upstreams_.FinishPrefill(upstream, attempt);
  const RequestRow& row = found->second;
  if (row.upstreams.size() == 1)
    prefix_index_.Insert(row.upstreams.back(), row.spec.prefix_blocks);
}

void Dispatcher::OnDelivered(RequestId request, int64_t tokens) {
  auto found = requests_.find(request);
  if (found != requests_.end())
    found->second.tokens_delivered = tokens;
}

RunState Dispatcher::RunStateOf(const RequestRow& row) const {
  if (row.tokens_delivered > 0)
    return RunState::kRan;
  if (row.may_have_run || row.attempt != 0)
    return RunState::kOutcomeUnknown;
  return RunState::kNotRun;
}

void Dispatcher::ReleaseAttempt(RequestRow* row, bool cancel) {
  if (row->attempt == 0)
    return;
  for (UpstreamId upstream : row->upstreams)
    upstreams_.Remove(upstream, row->attempt);
  if (cancel) {
    pending_commands_.push_back({.kind = CommandKind::kCancel,
                                 .request = row->spec.id,
                                 .attempt = row->attempt,
                                 .upstreams = row->upstreams});
  }
  row->attempt = 0;
  row->upstreams.clear();
  changed_queues_.insert(QueueKey(row->spec));
}

void Dispatcher::Refuse(RequestRow* row,
                        RefusalReason reason,
                        absl::Duration retry_after) {
  const RunState run_state = RunStateOf(*row);
  const bool may_retry_later = reason == RefusalReason::kOverloaded ||
                               reason == RefusalReason::kNoUpstream ||
                               reason == RefusalReason::kRetriesExhausted;
  if (may_retry_later)
    retry_after = std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter);
  ReleaseAttempt(row, /*cancel=*/true);
  if (row->phase == RequestPhase::kQueued)
    QueueOf(row->spec).Remove(*row);
  pending_commands_.push_back({.kind = CommandKind::kRefuse,
                               .request = row->spec.id,
                               .refusal = {.reason = reason,
                                           .run_state = run_state,
                                           .retry_after = retry_after}});
  requests_.erase(row->spec.id);
}

void Dispatcher::OnUpstreamFailure(UpstreamId upstream,
                                   absl::Time now,
                                   absl::BitGenRef random) {
  UpstreamRow* row = upstreams_.Find(upstream);
  if (row == nullptr)
    return;
  ++row->consecutive_failures;
  if (row->consecutive_failures < kCircuitBreakerThreshold)
    return;
  const int doublings = std::min(row->consecutive_failures - 1, 6);
  const absl::Duration delay = std::min(
      kCircuitBreakerMaxDelay, kCircuitBreakerBaseDelay * (1 << doublings));
  row->retry_at = now + delay * absl::Uniform(random, 0.5, 1.0);
  if (row->state == UpstreamState::kLive)
    upstreams_.SetState(upstream, UpstreamState::kBroken);
  if (row->state == UpstreamState::kBroken)
    AddTimer(row->retry_at, TimerKind::kRetryUpstream, {}, upstream);
}

void Dispatcher::RecordUpstreamDeath(RequestRow* row, absl::Time now) {
  row->crash_suspect = true;
  const uint32_t own_deaths =
      crash_tracker_.OnDeath(row->spec.fingerprint, now);
  if (listener_ != nullptr)
    listener_->OnDeathCountChanged(row->spec.fingerprint, own_deaths);
}

void Dispatcher::OnAttemptEnded(RequestId request,
                                uint64_t attempt,
                                const AttemptEnd& end,
                                absl::Time now,
                                absl::BitGenRef random) {
  auto found = requests_.find(request);
  if (found == requests_.end() || found->second.attempt != attempt)
    return;
  RequestRow* row = &found->second;
  const UpstreamId failed_upstream =
      end.upstream.value != 0 ? end.upstream : row->upstreams.back();
  const bool is_group = row->upstreams.size() > 1;
  switch (end.outcome) {
    case AttemptOutcome::kCompleted: {
      if (UpstreamRow* upstream = upstreams_.Find(failed_upstream))
        upstream->consecutive_failures = 0;
      if (crash_tracker_.OnCompleted(row->spec.fingerprint, now) &&
          listener_ != nullptr) {
        listener_->OnDeathCountChanged(row->spec.fingerprint, 0);
      }
      ReleaseAttempt(row, /*cancel=*/is_group);
      requests_.erase(found);
      return;
    }
    case AttemptOutcome::kCallerDisconnected:
      OnCallerDisconnected(request, now);
      return;
    case AttemptOutcome::kRefused:
      if (end.leaving) {
        if (UpstreamRow* upstream = upstreams_.Find(failed_upstream)) {
          upstreams_.SetState(failed_upstream, UpstreamState::kLeaving);
          if (listener_ != nullptr) {
            listener_->OnUpstreamStateObserved(upstream->name,
                                               UpstreamState::kLeaving);
          }
        }
      }
      ReleaseAttempt(row, /*cancel=*/is_group);
      break;
    case AttemptOutcome::kUnreachable:
      OnUpstreamFailure(failed_upstream, now, random);
      ReleaseAttempt(row, /*cancel=*/is_group);
      break;
    case AttemptOutcome::kDied:
      row->may_have_run = true;
      OnUpstreamFailure(failed_upstream, now, random);
      RecordUpstreamDeath(row, now);
      ReleaseAttempt(row, /*cancel=*/true);
      break;
    case AttemptOutcome::kStalled:
      row->may_have_run = true;
      OnUpstreamFailure(failed_upstream, now, random);
      ReleaseAttempt(row, /*cancel=*/true);
      break;
    case AttemptOutcome::kFailed:
      row->may_have_run = true;
      ReleaseAttempt(row, /*cancel=*/true);
      break;
  }
  Retry(row, now, random);
}

void Dispatcher::Retry(RequestRow* row,
                       absl::Time now,
                       absl::BitGenRef random) {
  const RetryRules& rules = options_.retries;
  if (row->may_have_run && row->spec.repeat == RepeatRule::kNever)
    return Refuse(row, RefusalReason::kUpstreamFailed, absl::ZeroDuration());
  const uint32_t deaths = crash_tracker_.Deaths(row->spec.fingerprint, now);
  if (deaths >= static_cast<uint32_t>(rules.max_deaths))
    return Refuse(row, RefusalReason::kCrashesUpstreams, absl::ZeroDuration());
  if (row->attempts >= rules.max_attempts)
    return Refuse(row, RefusalReason::kUpstreamFailed, kMinRetryAfter);
  if (options_.limit_retries &&
      !retry_budget_.TryWithdraw(row->spec.account, row->spec.route)) {
    return Refuse(row, RefusalReason::kRetriesExhausted, kMinRetryAfter);
  }
  const double doublings = 1 << std::min(row->attempts, 10);
  absl::Duration delay =
      rules.base_backoff * doublings * absl::Uniform(random, 0.0, 1.0);
  if (row->crash_suspect)
    delay += kCrashSuspectDelay;
  if (now + delay >= row->spec.deadline)
    return Refuse(row, RefusalReason::kDeadlineExceeded, absl::ZeroDuration());
  row->phase = RequestPhase::kBackingOff;
  AddTimer(now + delay, TimerKind::kBackoffOver, row->spec.id);
}

void Dispatcher::OnCallerDisconnected(RequestId request, absl::Time) {
  auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  RequestRow* row = &found->second;
  ReleaseAttempt(row, /*cancel=*/true);
  if (row->phase == RequestPhase::kQueued)
    QueueOf(row->spec).Remove(*row);
  requests_.erase(found);
}

void Dispatcher::RunTimers(absl::Time now) {
  while (!timers_.empty() && timers_.top().due <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    if (timer.kind == TimerKind::kRetryUpstream) {
      UpstreamRow* upstream = upstreams_.Find(timer.upstream);
      if (upstream != nullptr && upstream->state == UpstreamState::kBroken &&
          upstream->retry_at <= now) {
        upstreams_.SetState(timer.upstream, UpstreamState::kLive);
      }
      continue;
    }
    auto found = requests_.find(timer.request);
    if (found == requests_.end())
      continue;
    RequestRow* row = &found->second;
    switch (timer.kind) {
      case TimerKind::kDeadline:
        Refuse(row, RefusalReason::kDeadlineExceeded, absl::ZeroDuration());
        break;
      case TimerKind::kQueueLimit:
        // Only a request that was never started is refused for its wait.
        if (row->phase == RequestPhase::kQueued && row->attempts == 0) {
          const bool has_no_upstream =
              upstreams_.Eligible(row->spec.pool, row->spec.model).empty();
          Refuse(row,
                 has_no_upstream ? RefusalReason::kNoUpstream
                                 : RefusalReason::kOverloaded,
                 QueueOf(row->spec).EstimatedWait(row->queue_level));
        }
        break;
      case TimerKind::kBackoffOver:
        if (row->phase == RequestPhase::kBackingOff)
          Enqueue(row);
        break;
      case TimerKind::kRetryUpstream:
        break;
    }
  }
}

void Dispatcher::Start(RequestRow* row,
                       const PlacementChoice& choice,
                       absl::Time now) {
  row->phase = RequestPhase::kRunning;
  ++row->attempts;
  row->attempt = next_attempt_++;
  row->upstreams = choice.upstreams;
  const int64_t parts = static_cast<int64_t>(choice.upstreams.size());
  const int level = options_.use_levels ? PriorityLevelOf(row->spec) : 0;
  for (UpstreamId upstream : choice.upstreams) {
    upstreams_.Place(
        upstream, row->attempt,
        {.placed_at = now,
         .level = level,
         .prefill_tokens =
             (row->spec.prompt_tokens - choice.cached_tokens) / parts,
         .memory_tokens = MemoryNeedOf(row->spec) / parts,
         .is_long = row->spec.prompt_tokens > kLongPromptTokens,
         .is_crash_suspect = row->crash_suspect,
         .request = row->spec.id});
  }
  pending_commands_.push_back({.kind = CommandKind::kStart,
                               .request = row->spec.id,
                               .attempt = row->attempt,
                               .upstreams = choice.upstreams,
                               .level = level,
                               .resume_from = row->tokens_delivered});
}

bool Dispatcher::TryPlace(RequestQueue* queue,
                          RequestRow* row,
                          absl::Time now,
                          absl::BitGenRef random) {
  PlacementPolicy& policy = row->spec.model.empty()
                                ? *options_.service_placement
                                : *options_.model_placement;
  const PlacementChoice choice = policy.Choose({.request = *row,
                                                .upstreams = upstreams_,
                                                .prefixes = prefix_index_,
                                                .now = now,
                                                .random = random});
  if (choice.never_fits) {
    Refuse(row, RefusalReason::kPromptTooLong, absl::ZeroDuration());
    return true;
  }
  if (choice.upstreams.empty())
    return false;
  queue->Remove(*row);
  queue->OnPlaced(*row);
  Start(row, choice, now);
  return true;
}

bool Dispatcher::PlaceLevel(RequestQueue* queue,
                            int level,
                            absl::Time now,
                            absl::BitGenRef random) {
  int waiting = 0;
  auto next = queue->level(level).begin();
  while (next != queue->level(level).end() &&
         waiting <= kMaxOvertakenRequests) {
    RequestRow* row = &requests_.at(next->second);
    ++next;
    if (TryPlace(queue, row, now, random))
      continue;
    ++waiting;
    const absl::Duration waited = now - row->spec.arrived;
    if (waited > kMaxOvertakableWaitShare * row->spec.first_token_within)
      break;
  }
  return waiting == 0;
}

void Dispatcher::RunPlacement(absl::Time now, absl::BitGenRef random) {
  if (now >= next_queue_scan_) {
    next_queue_scan_ = now + kQueueScanInterval;
    for (const auto& [key, queue] : queues_) {
      if (queue->size() > 0)
        changed_queues_.insert(key);
    }
  }
  std::vector<std::string> changed(changed_queues_.begin(),
                                   changed_queues_.end());
  // The iteration order of the set differs between runs, but the decisions
  // must be reproducible.
  std::sort(changed.begin(), changed.end());
  changed_queues_.clear();
  for (const std::string& key : changed) {
    auto found = queues_.find(key);
    if (found == queues_.end())
      continue;
    RequestQueue* queue = found->second.get();
    for (int level = 0; level < kPriorityLevels && queue->size() > 0; ++level)
      PlaceLevel(queue, level, now, random);
    queue->OnRoundEnded(now);
  }
}

void Dispatcher::Tick(absl::Time now,
                      absl::BitGenRef random,
                      std::vector<Command>* commands) {
  if (now >= next_crash_expiry_) {
    next_crash_expiry_ = now + CrashingRequestTracker::kRetention;
    crash_tracker_.Expire(now);
  }
  RunTimers(now);
  RunPlacement(now, random);
  RefuseExcess();
  commands->insert(commands->end(),
                   std::make_move_iterator(pending_commands_.begin()),
                   std::make_move_iterator(pending_commands_.end()));
  pending_commands_.clear();
}

absl::Time Dispatcher::NextTimer() const {
  absl::Time next =
      timers_.empty() ? absl::InfiniteFuture() : timers_.top().due;
  if (queued() > 0)
    next = std::min(next, next_queue_scan_);
  return next;
}

size_t Dispatcher::queued() const {
  size_t total = 0;
  for (const auto& [key, queue] : queues_)
    total += queue->size();
  return total;
}

}  // namespace chicory
