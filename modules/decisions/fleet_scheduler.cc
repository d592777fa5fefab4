#include "modules/decisions/fleet_scheduler.h"

#include <algorithm>
#include <tuple>

namespace chicory {

namespace {

/** Requests at a plain service beyond its slots, as a share of the slots. */
constexpr double kPlainOverflow = 0.5;
/** Reading owed by an engine on average up to which it costs others nothing,
    and from which it costs kFullReadPrice. */
constexpr absl::Duration kFreeBacklog = absl::Milliseconds(150);
constexpr absl::Duration kFullBacklog = absl::Milliseconds(750);
/** Value of a millisecond of reading while all engines have enough to read. */
constexpr double kFullReadPrice = 0.005;
/** A late request is decided on when it has so many times the time left that
    its first part takes at best. */
constexpr double kLastMoment = 2;
/** A late request is still served at the last moment when others lose up to
    so many times what it gains. */
constexpr double kLastChance = 2;
/** Part of its value that a request which still has time avoids to lose by
    waiting. */
constexpr double kWaitAbove = 0.3;
/** A request has time to spare when it has so many times the time left that its
    first part takes. */
constexpr double kTimeToSpare = 1.3;
/** A waiting prompt can still be on time when it has so many times the time
   left that its first part takes at best. */
constexpr double kFeasibleMargin = 1.25;
/** Weight of the newest placement in the smoothed time beyond reading. */
constexpr double kOverheadShare = 0.05;
/** Share of the slots that late prompts leave to those that can be on time. */
constexpr double kReservedSlots = 0.04;
/** Part of the time from due to deadline that a late prompt waits for a slot.
 */
constexpr double kLatePatience = 0.2;
/** Waiting prompts are weighed again after this share of the time left. */
constexpr double kLookShare = 0.01;
constexpr absl::Duration kLeastLook = absl::Milliseconds(20);
constexpr absl::Duration kMostLook = absl::Milliseconds(100);
/** How often work without an end is looked for. */
constexpr absl::Duration kExpiryInterval = absl::Milliseconds(500);
/** Bounds on the time after which a refused request is worth another try. */
constexpr absl::Duration kLeastRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration kMostRetryAfter = absl::Seconds(3);

/** How long a waiting prompt is left before it is weighed again. */
absl::Duration LookInterval(const WorkRequest& request, absl::Time now) {
  return std::clamp((request.deadline - now) * kLookShare, kLeastLook,
                    kMostLook);
}

}  // namespace

const char* RefusalCauseName(RefusalCause cause) {
  static constexpr const char* kNames[] = {"deadline_over", "no_slots",
                                           "costs_others", "crashes_upstreams"};
  return kNames[static_cast<int>(cause)];
}

void FleetScheduler::SetEngine(const std::string& service,
                               const EngineProfile& engine) {
  engines_[service] = engine;
}

void FleetScheduler::Submit(const WorkRequest& request) {
  if (running_.contains(request.key))
    return;
  waiting_.emplace(request.key, Waiting{.request = request});
}

void FleetScheduler::Adopt(const RunningWork& work, absl::Time now) {
  const WorkRequest& request = work.request;
  if (running_.contains(request.key))
    return;
  waiting_.erase(request.key);
  ScheduledUpstream* upstream = upstreams_.Find(work.upstream);
  if (!upstream)
    return;
  const PlacementOption choice{.upstreams = {upstream}};
  Place(request, choice, now);
  if (work.answering)
    OnFirstPart(request.key, now);
}

void FleetScheduler::OnFirstPart(WorkKey key, absl::Time now) {
  auto found = running_.find(key);
  if (found == running_.end() || found->second.answering)
    return;
  found->second.answering = true;
  upstreams_.OnFirstPart(key, found->second.upstreams, now);
}

void FleetScheduler::OnEnded(WorkKey key,
                             SendResult result,
                             UpstreamKey fault_at,
                             absl::Time now) {
  auto found = running_.find(key);
  if (found == running_.end()) {
    waiting_.erase(key);
    return;
  }
  const Placement placement = std::move(found->second);
  running_.erase(found);
  upstreams_.Remove(key, placement.upstreams);
  const UpstreamKey blamed =
      fault_at != 0 ? fault_at : placement.upstreams.front();
  if (const uint64_t fingerprint = placement.request.fingerprint) {
    if (result == SendResult::kCrash)
      crashes_.OnCrash(fingerprint, blamed, now);
    else if (result == SendResult::kDone)
      crashes_.OnCompleted(fingerprint);
  }
  upstreams_.OnSendEnded(blamed, result, now);
}

void FleetScheduler::Forget(WorkKey key) {
  OnEnded(key, SendResult::kCancelled, 0, absl::InfinitePast());
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
  for (ScheduledUpstream* state : upstreams_.Usable(request.service, now)) {
    const double slots = std::max(state->info.slots, 1);
    const double running = static_cast<double>(state->loads.size());
    if (running >= slots * (1 + kPlainOverflow))
      continue;
    const bool tried = std::find(request.avoid.begin(), request.avoid.end(),
                                 state->info.key) != request.avoid.end();
    const double load = running / slots + state->FaultScoreAt(now);
    const std::tuple<bool, double, absl::Time, double> rank(
        tried, load, state->last_placed, state->preference);
    if (!best.upstreams.empty() && best_rank <= rank)
      continue;
    best_rank = rank;
    best.upstreams = {state};
    best.first_part = absl::ZeroDuration();
  }
  return best;
}

bool FleetScheduler::IsShortOfSlots(const WorkRequest& request) const {
  const UpstreamBoard::Slots slots = upstreams_.SlotsOf(request.service);
  return slots.all - slots.taken < kReservedSlots * slots.all;
}

absl::Duration FleetScheduler::OwedReading(const WorkRequest& request,
                                           absl::Time now) const {
  const EngineProfile* engine = EngineOf(request.service);
  if (!engine)
    return absl::ZeroDuration();
  UpstreamBoard::Reading reading = upstreams_.ReadingOf(request.service, now);
  for (const auto& [key, entry] : waiting_) {
    const WorkRequest& other = entry.request;
    if (key == request.key || other.service != request.service ||
        other.due < now)
      continue;
    reading.owed += ReadTime(*engine, other.prompt_tokens);
  }
  return reading.engines == 0 ? absl::ZeroDuration()
                              : reading.owed / reading.engines;
}

double FleetScheduler::ReadPrice(const WorkRequest& request,
                                 absl::Time now) const {
  const double share = absl::FDivDuration(
      OwedReading(request, now) - kFreeBacklog, kFullBacklog - kFreeBacklog);
  return kFullReadPrice * std::clamp(share, 0.0, 1.0);
}

FleetScheduler::Judgement FleetScheduler::Judge(const WorkRequest& request,
                                                const PlacementOption& choice,
                                                absl::Duration read,
                                                absl::Time now) const {
  constexpr Judgement kPlaceIt{.verdict = Verdict::kPlace};
  constexpr Judgement kWaitOn{.verdict = Verdict::kWait};
  constexpr Judgement kNoPlace{.verdict = Verdict::kRefuse,
                               .cause = RefusalCause::kNoSlots};
  constexpr Judgement kTooDear{.verdict = Verdict::kRefuse,
                               .cause = RefusalCause::kCostsOthers};
  const absl::Time patience =
      request.due + (request.deadline - request.due) * kLatePatience;
  if (choice.upstreams.empty()) {
    const bool is_hopeless = read > absl::ZeroDuration() && now >= patience &&
                             IsShortOfSlots(request);
    return is_hopeless ? kNoPlace : kWaitOn;
  }
  if (read == absl::ZeroDuration())
    return kPlaceIt;
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  if (now + choice.first_part <= request.due) {
    // While there is time, a better moment may come.
    const bool has_time = now + choice.first_part * kTimeToSpare < request.due;
    return has_time && choice.cost - choice.fault_cost > kWaitAbove * value
               ? kWaitOn
               : kPlaceIt;
  }
  if (IsShortOfSlots(request))
    return now < patience ? kWaitOn : kNoPlace;
  const double loss =
      choice.harm + ReadPrice(request, now) * absl::ToDoubleMilliseconds(read);
  const double gain = value * (1 - kLateLoss);
  if (loss <= gain)
    return kPlaceIt;
  if (now + choice.fastest * kLastMoment < request.deadline)
    return kWaitOn;
  return loss <= gain * kLastChance ? kPlaceIt : kTooDear;
}

void FleetScheduler::Place(const WorkRequest& request,
                           const PlacementOption& choice,
                           absl::Time now) {
  const EngineProfile* engine = EngineOf(request.service);
  const double parts = static_cast<double>(choice.upstreams.size());
  const absl::Duration read =
      engine ? ReadTime(*engine, request.prompt_tokens) / parts
             : absl::ZeroDuration();
  running_[request.key] = {
      .request = request,
      .upstreams = upstreams_.Add(request, choice, read, now)};
  if (choice.upstreams.size() == 1 && choice.first_part > read &&
      choice.first_part < absl::InfiniteDuration()) {
    absl::Duration& overhead = overhead_[request.service];
    overhead += (choice.first_part - read - overhead) * kOverheadShare;
  }
}

std::vector<WorkKey> FleetScheduler::InOrder(absl::Time now) const {
  using Rank = std::tuple<bool, int, absl::Time, WorkKey>;
  std::vector<Rank> ranks;
  for (const auto& [key, entry] : waiting_) {
    const WorkRequest& request = entry.request;
    if (entry.next_look > now)
      continue;
    const EngineProfile* engine = EngineOf(request.service);
    const absl::Duration read = engine
                                    ? ReadTime(*engine, request.prompt_tokens) /
                                          static_cast<double>(kMaxParts)
                                    : absl::ZeroDuration();
    auto overhead = overhead_.find(request.service);
    const absl::Duration needed =
        overhead == overhead_.end()
            ? read
            : (read + overhead->second) * kFeasibleMargin;
    const absl::Time latest_start = request.due - needed;
    ranks.emplace_back(latest_start < now, request.priority, latest_start, key);
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
    Forget(key);
}

ScheduleDecision FleetScheduler::Refuse(WorkKey key,
                                        RefusalCause cause,
                                        absl::Time now) {
  const WorkRequest request = waiting_.at(key).request;
  waiting_.erase(key);
  return {.kind = ScheduleDecision::Kind::kRefuse,
          .key = key,
          .cause = cause,
          .retry_after = std::clamp(OwedReading(request, now), kLeastRetryAfter,
                                    kMostRetryAfter)};
}

std::optional<ScheduleDecision> FleetScheduler::Decide(WorkKey key,
                                                       absl::Time now) {
  const WorkRequest request = waiting_.at(key).request;
  if (request.deadline <= now)
    return Refuse(key, RefusalCause::kDeadlineOver, now);
  if (crashes_.IsDangerous(request.fingerprint, now))
    return Refuse(key, RefusalCause::kCrashesUpstreams, now);
  const EngineProfile* engine =
      request.prompt_tokens > 0 ? EngineOf(request.service) : nullptr;
  const absl::Duration read =
      engine ? ReadTime(*engine, request.prompt_tokens) : absl::ZeroDuration();
  const PlacementOption choice =
      engine ? ChooseEngines(*engine, request,
                             upstreams_.Usable(request.service, now), now)
             : ChoosePlain(request, now);
  const Judgement judgement = Judge(request, choice, read, now);
  switch (judgement.verdict) {
    case Verdict::kWait:
      if (engine)
        waiting_.at(key).next_look = now + LookInterval(request, now);
      return std::nullopt;
    case Verdict::kRefuse:
      return Refuse(key, judgement.cause, now);
    case Verdict::kPlace:
      break;
  }
  Place(request, choice, now);
  waiting_.erase(key);
  ScheduleDecision decision{.key = key,
                            .upstream = choice.upstreams.front()->info.key,
                            .memory = choice.memory,
                            .expected = choice.first_part};
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
  for (WorkKey key : InOrder(now)) {
    if (auto decision = Decide(key, now))
      decisions.push_back(*std::move(decision));
  }
  return decisions;
}

}  // namespace chicory
