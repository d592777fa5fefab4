#include "modules/decisions/admission_control.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace chicory {

namespace {

/** Least time constant of the rate of placements. It is the target latency of
    requests with a longer one, since they are fewer. */
constexpr absl::Duration kMinRateTime = absl::Seconds(1);
/** Least share of the time constant over which placements are averaged. */
constexpr double kMinCoveredShare = 0.1;
/** Weight of the newest wait in the correction, and its bounds. */
constexpr double kCorrectionWeight = 0.05;
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 8;
/** Time after a contention for which the correction is kept. */
constexpr absl::Duration kCorrectionMemory = absl::Seconds(10);
/** Factor by which the correction grows when a request is refused although it
    was predicted to begin in time. */
constexpr double kMissedCorrection = 1.1;
/** Waits below this are not compared with their predictions. */
constexpr absl::Duration kMinComparedWait = absl::Milliseconds(5);
/** Weight of the newest placement in the average time to the first event. */
constexpr double kFirstEventWeight = 0.05;
/** A request waits only if it would begin in time even if the wait were this
    multiple of the predicted one. */
constexpr double kWaitMargin = 1.5;
/** Requests of accounts above their share yield for this share of the time
    constant of their class after another request of it got no capacity. */
constexpr double kYieldShare = 0.25;
/** Time for which a service counts as contended after a request had to wait. */
constexpr absl::Duration kContentionTime = absl::Seconds(1);
/** Prefill backlog per engine from which a service counts as busy. */
constexpr absl::Duration kBusyBacklog = absl::Milliseconds(750);
/** A request on time is not placed if others lose more than this share of its
    value, a late one if they lose more than kMaxLateCost of it. */
constexpr double kMaxCost = 0.5;
constexpr double kMaxLateCost = 0.02;

/** Returns the time until which a caller waits for the first event. */
absl::Time GivesUpAt(const WorkRequest& request, absl::Time now) {
  // A deadline that has passed is that of the first event of a stream that is
  // resumed.
  return request.first_event_deadline > now
             ? std::min(request.deadline, request.first_event_deadline)
             : request.deadline;
}

}  // namespace

size_t AdmissionControl::WaitingFor(const std::string& service) const {
  const auto found = waiting_by_service_.find(service);
  return found == waiting_by_service_.end() ? 0 : found->second;
}

bool AdmissionControl::IsBusy(const Candidate& candidate) const {
  const Usage& usage = candidate.usage;
  return usage.slots_taken * 2 >= usage.slots ||
         (WaitingFor(candidate.request.service) > 1 &&
          usage.prefill_backlog >= kBusyBacklog);
}

AdmissionControl::Class& AdmissionControl::StateOf(const WorkRequest& request,
                                                   absl::Time now) {
  const auto [found, is_new] = classes_.try_emplace(ClassOf(request));
  if (is_new)
    found->second.rate_time = std::max(kMinRateTime, request.due - now);
  return found->second;
}

double AdmissionControl::CountAt(const Class& state, absl::Time now) {
  const double age = std::max(
      0.0, absl::FDivDuration(now - state.counted_at, state.rate_time));
  return state.placed * std::exp(-age);
}

double AdmissionControl::RateOf(const Class& state, absl::Time now) {
  // Shortly after the first placement the sum does not yet cover the whole time
  // constant.
  const double covered = std::max(
      kMinCoveredShare,
      1 - std::exp(-std::max(
              0.0, absl::FDivDuration(now - state.first_at, state.rate_time))));
  return CountAt(state, now) /
         (absl::ToDoubleSeconds(state.rate_time) * covered);
}

AdmissionControl::Prediction AdmissionControl::PredictFor(const Class& state,
                                                          size_t ahead,
                                                          absl::Time now) {
  Prediction prediction{.ahead = ahead, .rate = RateOf(state, now)};
  // Without a recent placement the rate says how little was asked for, not how
  // little can be placed.
  const bool is_known = now - state.counted_at < state.rate_time;
  prediction.wait =
      is_known
          ? absl::Seconds(static_cast<double>(ahead + 1) / prediction.rate) *
                state.correction
          : absl::ZeroDuration();
  return prediction;
}

bool AdmissionControl::IsBlocked(const WorkRequest& request,
                                 absl::Time now) const {
  // A stream that is resumed goes by its own time limit.
  const auto waiting = waiting_.find(request.key);
  if (waiting != waiting_.end() && waiting->second.is_continuation)
    return false;
  const auto found = blocked_.find(ClassOf(request));
  return found != blocked_.end() &&
         request.prompt_tokens >= found->second.prompt_tokens &&
         now + found->second.time_to_first_event > request.due;
}

bool AdmissionControl::OnSubmitted(const WorkRequest& request,
                                   absl::Duration engine_time,
                                   absl::Time now) {
  Class& state = StateOf(request, now);
  if (now - contended_until_ > kCorrectionMemory)
    state.correction = 1;
  Waiting waiting{.of_class = ClassOf(request),
                  .since = now,
                  .gives_up = GivesUpAt(request, now),
                  .engine_time = engine_time,
                  .is_continuation = request.due < now};
  if (options_.return_schedule)
    waiting.kind = returns_.OnSubmitted(request, now);
  const bool returns = waiting.kind == ReturnSchedule::Return::kAtPromisedTime;
  waiting.predicted =
      PredictFor(state, returns ? state.returning : state.waiting, now).wait;
  if (!waiting_.emplace(request.key, waiting).second)
    return false;
  ++state.waiting;
  state.returning += returns;
  ++waiting_by_service_[request.service];
  const bool is_demand = waiting.kind == ReturnSchedule::Return::kFirst;
  if (is_demand)
    shares_.OnDemand(request, engine_time, now);
  return is_demand;
}

bool AdmissionControl::Yields(const WorkRequest& request,
                              const Waiting& waiting,
                              const Class& state,
                              absl::Time now) {
  switch (waiting.kind) {
    case ReturnSchedule::Return::kEarly:
      return true;
    case ReturnSchedule::Return::kAtPromisedTime:
      return false;
    case ReturnSchedule::Return::kUnpromised:
      // It is late for its caller.
      return now < state.others_wait_until;
    case ReturnSchedule::Return::kFirst:
      break;
  }
  return options_.account_shares && now < state.others_wait_until &&
         shares_.IsAboveShare(request, now);
}

int AdmissionControl::OrderOf(const WorkRequest& request, absl::Time now) {
  const auto found = waiting_.find(request.key);
  if (found == waiting_.end() || !IsContended(now))
    return 0;
  const Waiting& waiting = found->second;
  if (waiting.kind == ReturnSchedule::Return::kAtPromisedTime)
    return -1;
  return Yields(request, waiting, classes_[waiting.of_class], now) ? 1 : 0;
}

bool AdmissionControl::MayBePlaced(const Candidate& candidate,
                                   const Waiting& waiting,
                                   absl::Time now) const {
  const WorkRequest& request = candidate.request;
  const PlacementOption& choice = candidate.choice;
  if (choice.upstreams.empty())
    return false;
  const bool is_first = waiting.kind == ReturnSchedule::Return::kFirst;
  // A request that returns is late for its caller.
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens) *
      (is_first ? 1 : 1 - kLateLoss);
  if (now + choice.time_to_first_event <= request.due)
    return choice.cost_to_others <= kMaxCost * value;
  if (!candidate.would_place ||
      now + choice.time_to_first_event >= waiting.gives_up)
    return false;
  if (waiting.kind == ReturnSchedule::Return::kAtPromisedTime)
    return choice.cost_to_others <= kMaxCost * value;
  return WaitingFor(request.service) == 1 &&
         choice.cost_to_others <= kMaxLateCost * value;
}

void AdmissionControl::Block(const WorkRequest& request,
                             absl::Duration time_to_first_event) {
  const auto [blocked, is_first] = blocked_.try_emplace(ClassOf(request));
  if (is_first || request.prompt_tokens < blocked->second.prompt_tokens)
    blocked->second = {.prompt_tokens = request.prompt_tokens,
                       .time_to_first_event = time_to_first_event};
}

AdmissionControl::Verdict AdmissionControl::Judge(const Candidate& candidate,
                                                  absl::Time now) {
  const WorkRequest& request = candidate.request;
  Class& state = StateOf(request, now);
  const Waiting& waiting = waiting_.at(request.key);
  const bool returns = waiting.kind == ReturnSchedule::Return::kAtPromisedTime;
  Verdict verdict{.prediction = PredictFor(state, state.waiting - 1, now)};
  verdict.prediction.wait = waiting.predicted;
  if (now >= waiting.gives_up) {
    verdict.outcome = Outcome::kRefuse;
    return verdict;
  }
  if (waiting.is_continuation || !IsBusy(candidate))
    return verdict;
  const bool yields = Yields(request, waiting, state, now);
  if (!yields && MayBePlaced(candidate, waiting, now))
    return verdict;
  contended_until_ = now + kContentionTime;
  if (!yields) {
    if (waiting.kind == ReturnSchedule::Return::kFirst &&
        !shares_.IsAboveShare(request, now))
      state.others_wait_until = now + state.rate_time * kYieldShare;
    if (now + candidate.choice.time_to_first_event > request.due)
      Block(request, candidate.choice.time_to_first_event);
  }
  const absl::Time start =
      std::max(now, waiting.since + waiting.predicted * kWaitMargin);
  // A retry at its promised time is late for its caller in any case; a refusal
  // would be worse.
  const absl::Time latest = returns ? waiting.gives_up : request.due;
  const bool is_in_time = !yields && start + state.first_event <= latest;
  if (!yields && !is_in_time && now - waiting.since >= kMinComparedWait)
    state.correction =
        std::min(state.correction * kMissedCorrection, kMaxCorrection);
  verdict.outcome = is_in_time ? Outcome::kWait : Outcome::kRefuse;
  return verdict;
}

absl::Duration AdmissionControl::RetryAfter(const WorkRequest& request,
                                            absl::Time now) {
  return returns_.OnRefused(request, RateOf(StateOf(request, now), now), now);
}

void AdmissionControl::OnResponse(const WorkRequest& request,
                                  absl::Duration after_placement,
                                  absl::Time now) {
  absl::Duration& average = StateOf(request, now).first_event;
  average = average == absl::ZeroDuration()
                ? after_placement
                : average + (after_placement - average) * kFirstEventWeight;
}

void AdmissionControl::OnPlaced(const WorkRequest& request, absl::Time now) {
  Class& state = StateOf(request, now);
  if (now - state.counted_at >= state.rate_time) {
    state.placed = 0;
    state.first_at = now;
  }
  state.placed = CountAt(state, now) + 1;
  state.counted_at = now;
  const auto found = waiting_.find(request.key);
  if (found == waiting_.end())
    return;
  const Waiting& waiting = found->second;
  shares_.OnPlaced(request, waiting.engine_time, now);
  const absl::Duration waited = now - waiting.since;
  if (waited < kMinComparedWait || waiting.predicted < kMinComparedWait ||
      waiting.predicted == absl::InfiniteDuration())
    return;
  const double ratio = absl::FDivDuration(waited, waiting.predicted);
  state.correction =
      std::clamp(state.correction * (1 + (ratio - 1) * kCorrectionWeight),
                 kMinCorrection, kMaxCorrection);
}

void AdmissionControl::OnRemoved(WorkKey key) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end())
    return;
  Class& state = classes_[found->second.of_class];
  --state.waiting;
  state.returning -=
      found->second.kind == ReturnSchedule::Return::kAtPromisedTime ? 1 : 0;
  --waiting_by_service_[found->second.of_class.first];
  waiting_.erase(found);
}

}  // namespace chicory
