#include "modules/decisions/fleet_scheduler.h"

#include <algorithm>
#include <tuple>

namespace chicory {

namespace {

/** Requests that an upstream that is not a model engine may get beyond its
    slots, as a share of the slots. */
constexpr double kPlainOverflow = 0.5;
/** Load that a cold upstream counts as having: it is slow at first, so that
    warm ones with room go before it. */
constexpr double kColdLoad = 0.1;
/** Mean prefill backlog of an engine up to which further prefill costs other
    requests nothing, and from which it costs them kMaxPrefillPrice. */
constexpr absl::Duration kFreeBacklog = absl::Milliseconds(150);
constexpr absl::Duration kFullBacklog = absl::Milliseconds(750);
/** Value of a millisecond of prefill at a mean backlog of kFullBacklog. */
constexpr double kMaxPrefillPrice = 0.005;
/** A late request that costs others too much keeps waiting while its deadline
    is further away than this multiple of its least time to the first event. */
constexpr double kFinalDecisionFactor = 2;
/** After that it is placed if others lose at most this multiple of its gain,
    and refused otherwise. */
constexpr double kFinalCostFactor = 2;
/** A request is not placed where its first event is expected after this
    multiple of the time to its deadline. Estimates for late requests are often
    too high, because callers ahead of them leave. */
constexpr double kDeadlineEstimateMargin = 1.5;
/** A request with time to spare keeps waiting while its placement, recent
    faults aside, costs more than this share of its value. */
constexpr double kMaxImmediateCostShare = 0.3;
/** A request has time to spare if the time until it is due is more than this
    multiple of its expected time to the first event. */
constexpr double kSlackFactor = 1.3;
/** A waiting prompt can still be on time if the time until it is due is at
    least this multiple of its least time to the first event. */
constexpr double kFeasibilityFactor = 1.25;
/** Weight of the newest placement in the averages of `overhead_`. */
constexpr double kOverheadSmoothing = 0.05;
/** Share of the slots reserved for prompts that can still be on time. */
constexpr double kReservedSlots = 0.04;
/** Share of the time from due to deadline for which a late request waits for a
    slot, or for its turn at limited upstreams, before it is refused. */
constexpr double kLateSlotWaitShare = 0.2;
/** Waiting prompts are evaluated again after this share of the time to their
    deadline, within the bounds below. */
constexpr double kEvaluationIntervalShare = 0.01;
constexpr absl::Duration kMinEvaluationInterval = absl::Milliseconds(20);
constexpr absl::Duration kMaxEvaluationInterval = absl::Milliseconds(100);
/** How often running requests past their deadline are removed, and how long
    after the deadline. */
constexpr absl::Duration kExpiryInterval = absl::Milliseconds(500);
/** For shares of a service whose requests all take about as long. */
constexpr absl::Duration kPlainEngineTime = absl::Milliseconds(100);
/** Bounds of the retry-after hint for refused requests. */
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(3);

/** Returns until when a request waits for a slot or for its turn. */
absl::Time SlotWaitEnd(const WorkRequest& request) {
  return request.due + (request.deadline - request.due) * kLateSlotWaitShare;
}

absl::Duration EvaluationInterval(const WorkRequest& request, absl::Time now) {
  return std::clamp((request.deadline - now) * kEvaluationIntervalShare,
                    kMinEvaluationInterval, kMaxEvaluationInterval);
}

}  // namespace

const char* RefusalCauseName(RefusalCause cause) {
  static constexpr const char* kNames[] = {
      "deadline_over",     "no_slots",          "costs_others",
      "crashes_upstreams", "upstreams_limited", "no_capacity_in_time"};
  return kNames[static_cast<int>(cause)];
}

void FleetScheduler::SetEngine(const std::string& service,
                               const EngineProfile& engine) {
  engines_[service] = engine;
}

void FleetScheduler::SetAdmissionControl(bool enabled,
                                         AdmissionControl::Options options) {
  if (enabled)
    admission_.emplace(options);
  else
    admission_.reset();
}

void FleetScheduler::StopWaiting(WorkKey key) {
  waiting_.erase(key);
  if (admission_)
    admission_->OnRemoved(key);
}

void FleetScheduler::Submit(const WorkRequest& request) {
  if (running_.contains(request.key))
    return;
  const bool is_new =
      waiting_.emplace(request.key, Waiting{.request = request}).second;
  if (admission_ && is_new)
    submitted_.push_back(request.key);
}

void FleetScheduler::Adopt(const RunningWork& work, absl::Time now) {
  const WorkRequest& request = work.request;
  if (running_.contains(request.key))
    return;
  StopWaiting(request.key);
  ScheduledUpstream* upstream = upstreams_.Find(work.upstream);
  if (!upstream)
    return;
  const PlacementOption choice{.upstreams = {upstream}};
  Place(request, choice, now);
  if (work.response_started)
    OnResponseStarted(request.key, now);
}

void FleetScheduler::OnResponseStarted(WorkKey key, absl::Time now) {
  auto found = running_.find(key);
  if (found == running_.end() || found->second.response_started)
    return;
  found->second.response_started = true;
  if (admission_)
    admission_->OnResponse(found->second.request, now - found->second.placed_at,
                           now);
  upstreams_.OnResponseStarted(key, found->second.upstreams, now);
}

void FleetScheduler::OnEnded(WorkKey key,
                             AttemptResult result,
                             UpstreamKey faulty_upstream,
                             absl::Time now) {
  auto found = running_.find(key);
  if (found == running_.end()) {
    StopWaiting(key);
    return;
  }
  const Placement placement = std::move(found->second);
  running_.erase(found);
  upstreams_.Remove(key, placement.upstreams, now);
  if (admission_ && result == AttemptResult::kDone &&
      !placement.response_started)
    admission_->OnResponse(placement.request, now - placement.placed_at, now);
  const UpstreamKey attributed =
      faulty_upstream != 0 ? faulty_upstream : placement.upstreams.front();
  upstreams_.OnAttemptEnded(attributed, result, now);
}

void FleetScheduler::Forget(WorkKey key, absl::Time now) {
  OnEnded(key, AttemptResult::kCancelled, 0, now);
}

std::vector<WorkKey> FleetScheduler::KeysOf(uint32_t owner) const {
  std::vector<WorkKey> keys;
  for (const auto& [key, request] : waiting_) {
    if (key.owner == owner)
      keys.push_back(key);
  }
  for (const auto& [key, placement] : running_) {
    if (key.owner == owner)
      keys.push_back(key);
  }
  std::sort(keys.begin(), keys.end());
  return keys;
}

const EngineProfile* FleetScheduler::EngineOf(
    const std::string& service) const {
  auto found = engines_.find(service);
  return found == engines_.end() ? nullptr : &found->second;
}

PlacementOption FleetScheduler::ChoosePlain(const WorkRequest& request,
                                            absl::Time now) {
  PlacementOption best;
  std::tuple<bool, double, absl::Time, double> best_rank;
  for (ScheduledUpstream* state :
       upstreams_.Usable(request.service, *limits_, uses_limited_, now)) {
    const double slots = std::max(state->info.slots, 1);
    const double running = static_cast<double>(state->loads.size());
    // What an upstream gets beyond its slots it may refuse, and it would then
    // arrive at the next one.
    const double overflow = admission_ ? 0 : kPlainOverflow;
    if (running >= slots * (1 + overflow))
      continue;
    const bool was_attempted =
        std::find(request.avoid.begin(), request.avoid.end(),
                  state->info.key) != request.avoid.end();
    const double load = running / slots + state->FaultScoreAt(now) +
                        (limits_->IsCold(state->info.key, now) ? kColdLoad : 0);
    const std::tuple<bool, double, absl::Time, double> rank(
        was_attempted, load, state->last_placed, state->preference);
    if (!best.upstreams.empty() && best_rank <= rank)
      continue;
    best_rank = rank;
    best.upstreams = {state};
    best.time_to_first_event = absl::ZeroDuration();
  }
  return best;
}

bool FleetScheduler::IsShortOfSlots(const WorkRequest& request) const {
  const ScheduledUpstreamTable::Slots slots =
      upstreams_.SlotsOf(request.service);
  return slots.all - slots.taken < kReservedSlots * slots.all;
}

absl::Duration FleetScheduler::MeanPrefillBacklog(const WorkRequest& request,
                                                  absl::Duration limit,
                                                  absl::Time now) const {
  const EngineProfile* engine = EngineOf(request.service);
  if (!engine)
    return absl::ZeroDuration();
  ScheduledUpstreamTable::PrefillBacklog backlog =
      upstreams_.PrefillBacklogOf(request.service, limit, now);
  for (const auto& [key, entry] : waiting_) {
    const WorkRequest& other = entry.request;
    if (key == request.key || other.service != request.service ||
        other.due < now)
      continue;
    backlog.duration += PrefillTime(*engine, other.prompt_tokens);
  }
  return backlog.engines == 0 ? absl::ZeroDuration()
                              : backlog.duration / backlog.engines;
}

double FleetScheduler::PrefillPrice(const WorkRequest& request,
                                    absl::Time now) const {
  // With the limit a few engines that prefill for many seconds do not make
  // prefill at idle ones expensive.
  const absl::Duration backlog = MeanPrefillBacklog(request, kFullBacklog, now);
  const double share =
      absl::FDivDuration(backlog - kFreeBacklog, kFullBacklog - kFreeBacklog);
  return kMaxPrefillPrice * std::clamp(share, 0.0, 1.0);
}

FleetScheduler::Evaluation FleetScheduler::Evaluate(
    const WorkRequest& request,
    const PlacementOption& choice,
    absl::Duration prefill,
    absl::Time now) const {
  constexpr Evaluation kPlaceNow{.action = Action::kPlace};
  constexpr Evaluation kKeepWaiting{.action = Action::kWait};
  constexpr Evaluation kRefuseNoSlots{.action = Action::kRefuse,
                                      .cause = RefusalCause::kNoSlots};
  constexpr Evaluation kRefuseTooLate{.action = Action::kRefuse,
                                      .cause = RefusalCause::kDeadlineOver};
  constexpr Evaluation kRefuseCostsOthers{.action = Action::kRefuse,
                                          .cause = RefusalCause::kCostsOthers};
  const absl::Time slot_wait_end = SlotWaitEnd(request);
  if (choice.upstreams.empty()) {
    const bool waited_too_long = prefill > absl::ZeroDuration() &&
                                 now >= slot_wait_end &&
                                 IsShortOfSlots(request);
    return waited_too_long ? kRefuseNoSlots : kKeepWaiting;
  }
  if (prefill == absl::ZeroDuration())
    return kPlaceNow;
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  if (now + choice.time_to_first_event <= request.due) {
    // With time to spare, a cheaper placement may become possible.
    const bool has_time =
        now + choice.time_to_first_event * kSlackFactor < request.due;
    return has_time && choice.cost - choice.fault_cost >
                           kMaxImmediateCostShare * value
               ? kKeepWaiting
               : kPlaceNow;
  }
  // A response after the deadline is of no use, and would delay others.
  const absl::Time latest =
      now + (request.deadline - now) * kDeadlineEstimateMargin;
  if (now + choice.min_time_to_first_event > latest)
    return kRefuseTooLate;
  if (now + choice.time_to_first_event > latest)
    return kKeepWaiting;
  if (IsShortOfSlots(request))
    return now < slot_wait_end ? kKeepWaiting : kRefuseNoSlots;
  const double loss =
      choice.cost_to_others +
      PrefillPrice(request, now) * absl::ToDoubleMilliseconds(prefill);
  const double gain = value * (1 - kLateLoss);
  if (loss <= gain)
    return kPlaceNow;
  if (now + choice.min_time_to_first_event * kFinalDecisionFactor <
      request.deadline)
    return kKeepWaiting;
  return loss <= gain * kFinalCostFactor ? kPlaceNow : kRefuseCostsOthers;
}

void FleetScheduler::Place(const WorkRequest& request,
                           const PlacementOption& choice,
                           absl::Time now) {
  const EngineProfile* engine = EngineOf(request.service);
  const double parts = static_cast<double>(choice.upstreams.size());
  const absl::Duration prefill =
      engine ? PrefillTime(*engine, request.prompt_tokens) / parts
             : absl::ZeroDuration();
  running_[request.key] = {
      .request = request,
      .upstreams = upstreams_.Add(request, choice, prefill, now),
      .placed_at = now};
  if (choice.upstreams.size() == 1 && choice.time_to_first_event > prefill &&
      choice.time_to_first_event < absl::InfiniteDuration()) {
    absl::Duration& overhead = overhead_[request.service];
    overhead +=
        (choice.time_to_first_event - prefill - overhead) * kOverheadSmoothing;
  }
}

std::vector<WorkKey> FleetScheduler::EvaluationOrder(absl::Time now) {
  using Rank = std::tuple<bool, int, int, absl::Time, WorkKey>;
  std::vector<Rank> ranks;
  // A request that has come meanwhile must not get the capacity that an earlier
  // one waits for.
  const bool in_order = admission_ && admission_->IsContended(now);
  for (const auto& [key, entry] : waiting_) {
    const WorkRequest& request = entry.request;
    if (entry.next_evaluation > now && !in_order)
      continue;
    const EngineProfile* engine = EngineOf(request.service);
    const absl::Duration prefill =
        engine ? PrefillTime(*engine, request.prompt_tokens) /
                     static_cast<double>(kMaxParts)
               : absl::ZeroDuration();
    auto overhead = overhead_.find(request.service);
    const absl::Duration needed =
        overhead == overhead_.end()
            ? prefill
            : (prefill + overhead->second) * kFeasibilityFactor;
    const absl::Time latest_start = request.due - needed;
    ranks.emplace_back(latest_start < now, request.priority,
                       admission_ ? admission_->OrderOf(request, now) : 0,
                       latest_start, key);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<WorkKey> keys;
  for (const Rank& rank : ranks)
    keys.push_back(std::get<WorkKey>(rank));
  return keys;
}

void FleetScheduler::ExpireRunning(absl::Time now) {
  std::vector<WorkKey> expired;
  for (const auto& [key, placement] : running_) {
    if (placement.request.deadline + kExpiryInterval <= now)
      expired.push_back(key);
  }
  for (WorkKey key : expired)
    Forget(key, now);
}

ScheduleDecision FleetScheduler::Refuse(WorkKey key,
                                        RefusalCause cause,
                                        absl::Time now) {
  if (admission_) {
    const absl::Duration retry_after =
        admission_->RetryAfter(waiting_.at(key).request, now);
    StopWaiting(key);
    return {.kind = ScheduleDecision::Kind::kRefuse,
            .key = key,
            .cause = cause,
            .retry_after = retry_after};
  }
  return RefuseUntil(key, cause,
                     MeanPrefillBacklog(waiting_.at(key).request,
                                        absl::InfiniteDuration(), now));
}

ScheduleDecision FleetScheduler::RefuseUntil(WorkKey key,
                                             RefusalCause cause,
                                             absl::Duration retry_after) {
  StopWaiting(key);
  return {
      .kind = ScheduleDecision::Kind::kRefuse,
      .key = key,
      .cause = cause,
      .retry_after = std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter)};
}

absl::Duration FleetScheduler::WaitForLimits(const WorkRequest& request,
                                             absl::Time now) const {
  const double rate =
      upstreams_.LimitedRateOf(request.service, *limits_, uses_limited_, now);
  if (rate == RequestLimit::kNone)
    return absl::ZeroDuration();
  // The order of EvaluationOrder() for requests of one service.
  const auto rank = [now](const WorkRequest& work) {
    return std::tuple(work.due < now, work.priority, work.due, work.key);
  };
  int turns = 1;
  for (const auto& [key, entry] : waiting_) {
    const WorkRequest& other = entry.request;
    if (other.service == request.service && rank(other) < rank(request))
      ++turns;
  }
  return absl::Seconds(turns / rate);
}

void FleetScheduler::CountAgainstLimits(const PlacementOption& choice,
                                        absl::Time now) {
  if (limits_->empty())
    return;
  for (const ScheduledUpstream* upstream : choice.upstreams) {
    const UpstreamKey key = upstream->info.key;
    // A helper that keeps memory gets a reservation and a part of the prompt.
    const bool keeps_memory = std::any_of(
        choice.memory.begin(), choice.memory.end(),
        [key](const MemoryShare& share) { return share.upstream == key; });
    limits_->OnPlaced(key, now,
                      upstreams_.SharesOf(upstream->info.service, *limits_,
                                          uses_limited_, now),
                      keeps_memory ? 2 : 1);
  }
}

std::vector<ScheduledUpstream*> FleetScheduler::EnginesFor(
    const EngineProfile& engine,
    const WorkRequest& request,
    absl::Time now) {
  std::vector<ScheduledUpstream*> usable =
      upstreams_.Usable(request.service, *limits_, uses_limited_, now);
  if (!admission_)
    return usable;
  const absl::Duration time = LongPromptReserve::EngineTime(engine, request);
  reserve_.RemoveReserved(request, time, now, &usable);
  return usable;
}

void FleetScheduler::AddToAdmission(absl::Time now) {
  for (WorkKey key : std::exchange(submitted_, {})) {
    const auto found = waiting_.find(key);
    if (found == waiting_.end())
      continue;
    const WorkRequest& request = found->second.request;
    const EngineProfile* engine = EngineOf(request.service);
    const absl::Duration time =
        engine ? LongPromptReserve::EngineTime(*engine, request)
               : kPlainEngineTime;
    const bool is_demand = admission_->OnSubmitted(request, time, now);
    if (engine && is_demand)
      reserve_.OnSubmitted(request, time, now);
  }
}

const AdmissionControl::Usage& FleetScheduler::UsageOf(
    const std::string& service,
    absl::Time now) {
  const auto [found, is_new] = usage_.try_emplace(service);
  if (is_new) {
    const ScheduledUpstreamTable::Slots slots = upstreams_.SlotsOf(service);
    const ScheduledUpstreamTable::PrefillBacklog backlog =
        upstreams_.PrefillBacklogOf(service, absl::InfiniteDuration(), now);
    found->second = {
        .slots = slots.all,
        .slots_taken = slots.taken,
        .prefill_backlog = backlog.duration / std::max(backlog.engines, 1)};
  }
  return found->second;
}

FleetScheduler::Evaluation FleetScheduler::Admit(const WorkRequest& request,
                                                 const PlacementOption& choice,
                                                 Evaluation evaluation,
                                                 absl::Time now) {
  if (!admission_ || evaluation.action == Action::kRefuse)
    return evaluation;
  const AdmissionControl::Verdict verdict =
      admission_->Judge({.request = request,
                         .choice = choice,
                         .usage = UsageOf(request.service, now),
                         .would_place = evaluation.action == Action::kPlace},
                        now);
  switch (verdict.outcome) {
    case AdmissionControl::Outcome::kWait:
      reserve_.OnContended(request.service, now);
      return {.action = Action::kWait};
    case AdmissionControl::Outcome::kRefuse:
      reserve_.OnContended(request.service, now);
      return {.action = Action::kRefuse,
              .cause = RefusalCause::kNoCapacityInTime};
    case AdmissionControl::Outcome::kUnchanged:
      break;
  }
  return evaluation;
}

std::optional<ScheduleDecision> FleetScheduler::Decide(WorkKey key,
                                                       absl::Time now) {
  const WorkRequest request = waiting_.at(key).request;
  if (request.deadline <= now)
    return Refuse(key, RefusalCause::kDeadlineOver, now);
  const EngineProfile* engine =
      request.prompt_tokens > 0 ? EngineOf(request.service) : nullptr;
  const absl::Duration prefill =
      engine ? PrefillTime(*engine, request.prompt_tokens)
             : absl::ZeroDuration();
  const PlacementOption choice =
      admission_ && admission_->IsBlocked(request, now) ? PlacementOption{}
      : engine ? ChooseEngines(*engine, request,
                               EnginesFor(*engine, request, now), now)
               : ChoosePlain(request, now);
  if (choice.upstreams.empty()) {
    const absl::Duration wait = WaitForLimits(request, now);
    if (wait > absl::ZeroDuration() && now + wait > SlotWaitEnd(request))
      return RefuseUntil(key, RefusalCause::kUpstreamsLimited, wait);
  }
  const Evaluation evaluation =
      Admit(request, choice, Evaluate(request, choice, prefill, now), now);
  switch (evaluation.action) {
    case Action::kWait:
      if (engine)
        waiting_.at(key).next_evaluation =
            now + EvaluationInterval(request, now);
      return std::nullopt;
    case Action::kRefuse:
      return Refuse(key, evaluation.cause, now);
    case Action::kPlace:
      break;
  }
  Place(request, choice, now);
  CountAgainstLimits(choice, now);
  if (admission_) {
    admission_->OnPlaced(request, now);
    usage_.erase(request.service);
  }
  StopWaiting(key);
  ScheduleDecision decision{.key = key,
                            .upstream = choice.upstreams.front()->info.key,
                            .memory = choice.memory,
                            .expected = choice.time_to_first_event};
  for (size_t i = 1; i < choice.upstreams.size(); ++i)
    decision.helpers.push_back(choice.upstreams[i]->info.key);
  return decision;
}

std::vector<ScheduleDecision> FleetScheduler::Run(absl::Time now) {
  std::vector<ScheduleDecision> decisions;
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    ExpireRunning(now);
  }
  if (waiting_.empty())
    return decisions;
  usage_.clear();
  if (admission_) {
    AddToAdmission(now);
    admission_->BeginRun();
  }
  limits_->BeginBuckets(now);
  for (WorkKey key : EvaluationOrder(now)) {
    if (auto decision = Decide(key, now))
      decisions.push_back(*std::move(decision));
  }
  return decisions;
}

}  // namespace chicory
