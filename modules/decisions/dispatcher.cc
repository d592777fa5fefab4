#include "modules/decisions/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "absl/random/distributions.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

/** Failures in a row after which an upstream gets no work for a while. */
constexpr int kFailuresToBreak = 1;

/** Unanswered questions for its load in a row that make an upstream silent. */
constexpr int kPollsToSilence = 3;

/** First and longest pause before a broken upstream is tried again. */
constexpr absl::Duration kBreakBase = absl::Milliseconds(500);
constexpr absl::Duration kBreakMax = absl::Seconds(30);

/** Pause before a request that saw an upstream die runs again, so that other
    instances hear of the death first. */
constexpr absl::Duration kSuspectPause = absl::Seconds(1);

/** Queues in which something waits are looked at again this often. */
constexpr absl::Duration kQueueScan = absl::Milliseconds(10);

/** Requests behind a waiting one that may go first. */
constexpr int kLookAhead = 4;

/** Share of its bound after which a waiting request is not overtaken. */
constexpr double kNoOvertakingAfter = 0.5;

/** Shortest and longest advice on when to come back. */
constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

std::string QueueKey(const RequestSpec& spec) {
  return absl::StrCat(spec.pool, "\n", spec.model);
}

}  // namespace

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options)),
      retry_budget_(options_.retries.retry_share),
      crash_guard_(options_.instance) {
  assert(options_.model_placement != nullptr);
  assert(options_.service_placement != nullptr);
}

void Dispatcher::OnRetryRules(const RetryRules& rules) {
  options_.retries = rules;
  retry_budget_.set_share(rules.retry_share);
}

UpstreamId Dispatcher::OnUpstreamListed(const UpstreamRow& seen) {
  const UpstreamRow* known = upstreams_.FindByName(seen.name);
  const bool has_moved = known != nullptr && known->address != seen.address;
  const UpstreamId id = upstreams_.Upsert(seen);
  // Another address is another process: what left is not what is here now.
  if (has_moved)
    upstreams_.SetState(id, UpstreamState::kLive);
  return id;
}

void Dispatcher::OnUpstreamState(const std::string& name, UpstreamState state) {
  UpstreamRow* row = upstreams_.FindByName(name);
  if (row == nullptr || row->state == state)
    return;
  // A lagging list must not bring back what is known to be leaving.
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
    prefixes_.OnRestart(upstream);
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
  if (row == nullptr || ++row->failed_polls < kPollsToSilence)
    return false;
  row->failed_polls = 0;
  OnUpstreamFailure(row->id, now, random);
  return true;
}

void Dispatcher::OnCacheEvent(UpstreamId upstream,
                              uint64_t sequence,
                              uint64_t block,
                              bool stored) {
  prefixes_.OnEvent(upstream, sequence, block, stored);
}

void Dispatcher::OnDeathCountReceived(uint64_t fingerprint,
                                      const std::string& instance,
                                      uint32_t deaths,
                                      absl::Time now) {
  crash_guard_.OnHeard(fingerprint, instance, deaths, now);
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
  const uint32_t deaths = crash_guard_.Deaths(spec.fingerprint, now);
  if (deaths >= static_cast<uint32_t>(options_.retries.max_deaths)) {
    Refuse(&row, RefusalReason::kCrashesUpstreams, absl::ZeroDuration());
    return;
  }
  row.suspect = deaths > 0;
  if (now >= spec.deadline) {
    Refuse(&row, RefusalReason::kDeadlineExceeded, absl::ZeroDuration());
    return;
  }
  retry_budget_.Earn(spec.account, spec.route);
  AddTimer(spec.deadline, TimerKind::kDeadline, spec.id);
  if (options_.refuse_early) {
    AddTimer(std::min(spec.deadline, now + spec.first_token_within),
             TimerKind::kQueueLimit, spec.id);
  }
  Enqueue(&row);
  arrived_.push_back(spec.id);
}

void Dispatcher::RefuseExcess() {
  for (RequestId id : std::exchange(arrived_, {})) {
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
    // The one furthest back by fair share goes; it need not be the newcomer.
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
    prefixes_.Insert(row.upstreams.back(), row.spec.prefix_blocks);
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

void Dispatcher::Detach(RequestRow* row, bool cancel) {
  if (row->attempt == 0)
    return;
  for (UpstreamId upstream : row->upstreams)
    upstreams_.Remove(upstream, row->attempt);
  if (cancel) {
    pending_.push_back({.kind = CommandKind::kCancel,
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
  const bool comes_back = reason == RefusalReason::kOverloaded ||
                          reason == RefusalReason::kNoUpstream ||
                          reason == RefusalReason::kRetriesExhausted;
  if (comes_back)
    retry_after = std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter);
  Detach(row, /*cancel=*/true);
  if (row->phase == RequestPhase::kQueued)
    QueueOf(row->spec).Remove(*row);
  pending_.push_back({.kind = CommandKind::kRefuse,
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
  if (row->consecutive_failures < kFailuresToBreak)
    return;
  const int doublings = std::min(row->consecutive_failures - 1, 6);
  const absl::Duration pause =
      std::min(kBreakMax, kBreakBase * (1 << doublings));
  row->retry_at = now + pause * absl::Uniform(random, 0.5, 1.0);
  if (row->state == UpstreamState::kLive)
    upstreams_.SetState(upstream, UpstreamState::kBroken);
  if (row->state == UpstreamState::kBroken)
    AddTimer(row->retry_at, TimerKind::kRetryUpstream, {}, upstream);
}

void Dispatcher::ChargeDeath(RequestRow* row, absl::Time now) {
  row->suspect = true;
  const uint32_t own = crash_guard_.OnDeath(row->spec.fingerprint, now);
  if (listener_ != nullptr)
    listener_->OnDeathCountChanged(row->spec.fingerprint, own);
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
  const UpstreamId fault =
      end.upstream.value != 0 ? end.upstream : row->upstreams.back();
  const bool is_group = row->upstreams.size() > 1;
  switch (end.outcome) {
    case AttemptOutcome::kCompleted: {
      if (UpstreamRow* upstream = upstreams_.Find(fault))
        upstream->consecutive_failures = 0;
      if (crash_guard_.OnCompleted(row->spec.fingerprint, now) &&
          listener_ != nullptr) {
        listener_->OnDeathCountChanged(row->spec.fingerprint, 0);
      }
      Detach(row, /*cancel=*/is_group);
      requests_.erase(found);
      return;
    }
    case AttemptOutcome::kCallerGone:
      OnCallerGone(request, now);
      return;
    case AttemptOutcome::kRefused:
      if (end.leaving) {
        if (UpstreamRow* upstream = upstreams_.Find(fault)) {
          upstreams_.SetState(fault, UpstreamState::kLeaving);
          if (listener_ != nullptr) {
            listener_->OnUpstreamStateObserved(upstream->name,
                                               UpstreamState::kLeaving);
          }
        }
      }
      Detach(row, /*cancel=*/is_group);
      break;
    case AttemptOutcome::kUnreachable:
      OnUpstreamFailure(fault, now, random);
      Detach(row, /*cancel=*/is_group);
      break;
    case AttemptOutcome::kDied:
      row->may_have_run = true;
      OnUpstreamFailure(fault, now, random);
      ChargeDeath(row, now);
      Detach(row, /*cancel=*/true);
      break;
    case AttemptOutcome::kStalled:
      row->may_have_run = true;
      OnUpstreamFailure(fault, now, random);
      Detach(row, /*cancel=*/true);
      break;
    case AttemptOutcome::kFailed:
      row->may_have_run = true;
      Detach(row, /*cancel=*/true);
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
  const uint32_t deaths = crash_guard_.Deaths(row->spec.fingerprint, now);
  if (deaths >= static_cast<uint32_t>(rules.max_deaths))
    return Refuse(row, RefusalReason::kCrashesUpstreams, absl::ZeroDuration());
  if (row->attempts >= rules.max_attempts)
    return Refuse(row, RefusalReason::kUpstreamFailed, kMinRetryAfter);
  if (options_.limit_retries &&
      !retry_budget_.Spend(row->spec.account, row->spec.route)) {
    return Refuse(row, RefusalReason::kRetriesExhausted, kMinRetryAfter);
  }
  const double doublings = 1 << std::min(row->attempts, 10);
  absl::Duration pause =
      rules.base_backoff * doublings * absl::Uniform(random, 0.0, 1.0);
  if (row->suspect)
    pause += kSuspectPause;
  if (now + pause >= row->spec.deadline)
    return Refuse(row, RefusalReason::kDeadlineExceeded, absl::ZeroDuration());
  row->phase = RequestPhase::kBackingOff;
  AddTimer(now + pause, TimerKind::kBackoffOver, row->spec.id);
}

void Dispatcher::OnCallerGone(RequestId request, absl::Time) {
  auto found = requests_.find(request);
  if (found == requests_.end())
    return;
  RequestRow* row = &found->second;
  Detach(row, /*cancel=*/true);
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
        // Only what never ran may be turned away to keep the bound.
        if (row->phase == RequestPhase::kQueued && row->attempts == 0) {
          const bool nobody =
              upstreams_.Eligible(row->spec.pool, row->spec.model).empty();
          Refuse(
              row,
              nobody ? RefusalReason::kNoUpstream : RefusalReason::kOverloaded,
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
         .is_suspect = row->suspect,
         .request = row->spec.id});
  }
  pending_.push_back({.kind = CommandKind::kStart,
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
                                                .prefixes = prefixes_,
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
  while (next != queue->level(level).end() && waiting <= kLookAhead) {
    RequestRow* row = &requests_.at(next->second);
    ++next;
    if (TryPlace(queue, row, now, random))
      continue;
    ++waiting;
    const absl::Duration waited = now - row->spec.arrived;
    if (waited > kNoOvertakingAfter * row->spec.first_token_within)
      break;
  }
  return waiting == 0;
}

void Dispatcher::RunPlacement(absl::Time now, absl::BitGenRef random) {
  if (now >= next_queue_scan_) {
    next_queue_scan_ = now + kQueueScan;
    for (const auto& [key, queue] : queues_) {
      if (queue->size() > 0)
        changed_queues_.insert(key);
    }
  }
  std::vector<std::string> changed(changed_queues_.begin(),
                                   changed_queues_.end());
  // A set's order differs between runs; decisions must not.
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
    next_crash_expiry_ = now + CrashingRequestTracker::kMemory;
    crash_guard_.Expire(now);
  }
  RunTimers(now);
  RunPlacement(now, random);
  RefuseExcess();
  commands->insert(commands->end(), std::make_move_iterator(pending_.begin()),
                   std::make_move_iterator(pending_.end()));
  pending_.clear();
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
