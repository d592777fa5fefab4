#include "modules/decisions/fleet_scheduler.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

/** Part of a request's value that is lost when its answer is late. */
constexpr double kLateLoss = 0.75;
/** Below this share of a limit an estimate is safe; the risk grows to certain
    at kCertainShare. */
constexpr double kSafeShare = 0.6;
constexpr double kCertainShare = 1.05;
/** Tokens of prompt and answer that double a request's value. */
constexpr double kTokensPerValue = 8000;
/** Time between the upstream and the caller, both ways and in queues. */
constexpr double kTransitMs = 12;
/** Numbers of engines that a prompt may be read by. */
constexpr std::array<size_t, 8> kPartCounts = {1, 2, 3, 4, 6, 9, 13, 16};
/** A prompt that one engine reads faster is not split. */
constexpr absl::Duration kSplitFrom = absl::Milliseconds(60);
/** Cost of each further engine that takes part, in value. */
constexpr double kPartCost = 0.004;
/** The same for a prompt that is late in any case. */
constexpr double kLatePartCost = 0.5;
/** Cost of an arrangement that would end after the deadline. */
constexpr double kTooLateCost = 1000;
/** Time that a late prompt is given, over the estimate. */
constexpr double kLateReserve = 1.5;
/** Advantage of an engine for each stream that already writes there. */
constexpr double kPackingBonus = 0.006;
/** The most that a scheduler's own preference costs: less than the advantage of
    an engine with streams. */
constexpr double kPreferenceCost = 0.004;
/** Share of its memory that an engine's requests may be expected to fill. */
constexpr double kMemoryShare = 0.95;
/** Part of its value that a request loses with each millisecond in which an
   engine that reads it reads for others. */
constexpr double kDelayCostPerMs = 0.05 / 1000;
/** Callers leave a stream after a pause of this length or of so many times the
    pause that is still on time, whichever is longer. */
constexpr double kLeastPatienceMs = 2000;
constexpr double kPatienceGaps = 8;
/** Engines set memory aside in blocks. */
constexpr int64_t kMemoryBlock = 16;
/** Memory shares are larger than needed by one part in this many. */
constexpr int64_t kMemoryMarginDivisor = 50;
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
constexpr absl::Duration kFaultHalfLife = absl::Seconds(4);
/** Faults at which an upstream is left alone for a while. */
constexpr double kSuspendFaults = 2.5;
constexpr absl::Duration kSuspension = absl::Milliseconds(1500);
/** Cost of a recent fault, as a part of a request's value. */
constexpr double kFaultCost = 0.3;
/** More recent faults than this cost no more. */
constexpr double kMostFaults = 2;
/** Part of a request's value that a long first pause of its own costs. */
constexpr double kOwnGapLoss = kLateLoss / 4;
constexpr absl::Duration kFullPause = absl::Milliseconds(100);
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
/** Least time to ask again after a refusal. */
constexpr absl::Duration kRetryAfter = absl::Milliseconds(500);

/** Probability that something estimated as `time_ms` exceeds `limit_ms`. */
double Risk(double time_ms, double limit_ms) {
  if (limit_ms <= 0)
    return 1;
  const double share = time_ms / limit_ms;
  return std::clamp((share - kSafeShare) / (kCertainShare - kSafeShare), 0.0,
                    1.0);
}

double PreferenceOf(UpstreamKey key, uint64_t seed) {
  const std::array<uint64_t, 2> pair = {key, seed};
  const uint64_t hash = StableHash(std::string_view(
      reinterpret_cast<const char*>(pair.data()), sizeof(pair)));
  constexpr double kSteps = 1024;
  return kPreferenceCost * static_cast<double>(hash % 1024) / kSteps;
}

/** How long a waiting prompt is left before it is weighed again. */
absl::Duration LookInterval(const WorkRequest& request, absl::Time now) {
  return std::clamp((request.deadline - now) * kLookShare, kLeastLook,
                    kMostLook);
}

}  // namespace

double RequestValue(int64_t prompt_tokens, int64_t output_tokens) {
  return 1 +
         static_cast<double>(prompt_tokens + output_tokens) / kTokensPerValue;
}

void FleetScheduler::SetUpstreams(
    const std::vector<SchedulerUpstream>& upstreams) {
  for (auto& [key, state] : upstreams_)
    state.eligible = false;
  for (const SchedulerUpstream& upstream : upstreams) {
    UpstreamState& state = upstreams_[upstream.key];
    state.info = upstream;
    state.preference = PreferenceOf(upstream.key, preference_seed_);
    state.eligible = true;
  }
  std::erase_if(upstreams_, [](const auto& entry) {
    return !entry.second.eligible && entry.second.loads.empty();
  });
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
  auto found = upstreams_.find(work.upstream);
  if (found == upstreams_.end())
    return;
  Choice choice{.upstreams = {&found->second}};
  Place(request, choice, now);
  if (work.answering)
    OnFirstPart(request.key, now);
}

void FleetScheduler::OnFirstPart(WorkKey key, absl::Time now) {
  auto found = running_.find(key);
  if (found == running_.end() || found->second.answering)
    return;
  Placement& placement = found->second;
  placement.answering = true;
  for (UpstreamKey upstream : placement.upstreams) {
    auto state = upstreams_.find(upstream);
    if (state == upstreams_.end())
      continue;
    std::erase_if(state->second.loads, [&](const Load& load) {
      return load.key == key && load.is_part && load.tokens == 0;
    });
    bool reading = false;
    for (Load& load : state->second.loads) {
      if (load.key == key)
        load.answering = true;
      reading |= !load.answering;
    }
    if (!reading)
      state->second.read_until = std::min(state->second.read_until, now);
  }
}

void FleetScheduler::RemoveLoads(WorkKey key, const Placement& placement) {
  for (UpstreamKey upstream : placement.upstreams) {
    auto state = upstreams_.find(upstream);
    if (state == upstreams_.end())
      continue;
    std::erase_if(state->second.loads,
                  [&](const Load& load) { return load.key == key; });
    if (state->second.loads.empty()) {
      state->second.read_until = absl::InfinitePast();
      if (!state->second.eligible)
        upstreams_.erase(state);
    }
  }
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
  RemoveLoads(key, placement);
  const UpstreamKey blamed =
      fault_at != 0 ? fault_at : placement.upstreams.front();
  auto state = upstreams_.find(blamed);
  if (state == upstreams_.end())
    return;
  switch (result) {
    case SendResult::kDone:
      state->second.faults = FaultsNow(state->second, now) / 2;
      state->second.faults_at = now;
      break;
    case SendResult::kFull:
      state->second.full_until =
          std::max(state->second.full_until, now + kFullPause);
      break;
    case SendResult::kFault:
      AddFault(blamed, 1, now);
      break;
    case SendResult::kCancelled:
      break;
  }
}

void FleetScheduler::Forget(WorkKey key) {
  OnEnded(key, SendResult::kCancelled, 0, absl::InfinitePast());
}

void FleetScheduler::SetPace(UpstreamKey upstream, double pace) {
  auto found = upstreams_.find(upstream);
  if (found != upstreams_.end())
    found->second.pace = std::max(pace, 0.1);
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

int FleetScheduler::RunningAt(UpstreamKey upstream) const {
  auto found = upstreams_.find(upstream);
  if (found == upstreams_.end())
    return 0;
  const std::vector<Load>& loads = found->second.loads;
  return static_cast<int>(
      std::count_if(loads.begin(), loads.end(),
                    [](const Load& load) { return !load.is_part; }));
}

const EngineProfile* FleetScheduler::EngineOf(
    const std::string& service) const {
  auto found = engines_.find(service);
  return found == engines_.end() ? nullptr : &found->second;
}

double FleetScheduler::FaultsNow(const UpstreamState& upstream,
                                 absl::Time now) const {
  if (upstream.faults <= 0)
    return 0;
  const double halves = std::max(
      0.0, absl::FDivDuration(now - upstream.faults_at, kFaultHalfLife));
  return upstream.faults * std::exp2(-halves);
}

void FleetScheduler::AddFault(UpstreamKey key, double amount, absl::Time now) {
  auto found = upstreams_.find(key);
  if (found == upstreams_.end())
    return;
  UpstreamState& state = found->second;
  state.faults = FaultsNow(state, now) + amount;
  state.faults_at = now;
  if (state.faults >= kSuspendFaults)
    state.suspended_until = now + kSuspension;
}

std::vector<FleetScheduler::UpstreamState*> FleetScheduler::Usable(
    const WorkRequest& request,
    absl::Time now) {
  std::vector<UpstreamState*> sound;
  std::vector<UpstreamState*> suspended;
  for (auto& [key, state] : upstreams_) {
    if (!state.eligible || state.info.service != request.service ||
        state.full_until > now)
      continue;
    if (state.suspended_until > now)
      suspended.push_back(&state);
    else
      sound.push_back(&state);
  }
  // When all fail, the failures say little about any of them.
  return sound.empty() ? suspended : sound;
}

FleetScheduler::EngineView FleetScheduler::ViewOf(const EngineProfile& engine,
                                                  UpstreamState* upstream,
                                                  absl::Time now) const {
  EngineView view{.upstream = upstream,
                  .pace = upstream->pace,
                  .faults = FaultsNow(*upstream, now),
                  .preference = upstream->preference};
  int64_t context = 0;
  int64_t held = 0;
  for (const Load& load : upstream->loads) {
    held += load.tokens;
    view.requests += load.is_part ? 0 : 1;
    if (!load.answering) {
      view.unread.push_back(&load);
      continue;
    }
    if (load.is_part)
      continue;
    ++view.writers;
    context += load.tokens;
    auto group = std::find_if(
        view.gaps.begin(), view.gaps.end(),
        [&](const GapGroup& known) { return known.gap_ms == load.gap_ms; });
    if (group == view.gaps.end())
      view.gaps.push_back({.gap_ms = load.gap_ms, .value = load.value});
    else
      group->value += load.value;
  }
  view.base_ms =
      absl::ToDoubleMilliseconds(PassTime(engine, view.writers, context)) *
      view.pace;
  view.backlog_ms =
      std::max(absl::ToDoubleMilliseconds(upstream->read_until - now), 0.0);
  view.has_slot = view.requests < upstream->info.slots;
  const int64_t memory = static_cast<int64_t>(
      kMemoryShare * static_cast<double>(engine.memory_tokens));
  view.free_tokens = std::max<int64_t>(memory - held, 0);
  return view;
}

FleetScheduler::Estimate FleetScheduler::EstimateRead(const EngineView& view,
                                                      double read_ms,
                                                      absl::Time now) {
  const double own_ms = read_ms * view.pace;
  double lead_begin = view.backlog_ms;
  double helper_begin = 0;
  // A pass with writers reads all that is there before a next one begins.
  if (view.writers > 0)
    lead_begin = helper_begin = std::max(view.backlog_ms, view.base_ms / 2);
  const double after = own_ms + view.base_ms + kTransitMs;
  const double pass_before = view.base_ms + view.backlog_ms;
  Estimate estimate{.pass_ms = pass_before + own_ms,
                    .lead_ms = lead_begin + after,
                    .helper_ms = helper_begin + after};
  for (const Load* load : view.unread)
    estimate.harm += DelayHarm(*load, own_ms, now);
  for (const GapGroup& group : view.gaps) {
    const double late =
        Risk(estimate.pass_ms, group.gap_ms) - Risk(pass_before, group.gap_ms);
    const double patience =
        std::max(kLeastPatienceMs, group.gap_ms * kPatienceGaps);
    const double left =
        Risk(estimate.pass_ms, patience) - Risk(pass_before, patience);
    estimate.harm += group.value * (late * kLateLoss + left * (1 - kLateLoss));
  }
  return estimate;
}

double FleetScheduler::DelayHarm(const Load& load,
                                 double delay_ms,
                                 absl::Time now) {
  const double wait =
      std::max(absl::ToDoubleMilliseconds(load.expected - now), 0.0);
  const double due = absl::ToDoubleMilliseconds(load.due - now);
  const double deadline = absl::ToDoubleMilliseconds(load.deadline - now);
  double harm = kDelayCostPerMs * delay_ms;
  if (due > 0)
    harm += kLateLoss * (Risk(wait + delay_ms, due) - Risk(wait, due));
  harm += (1 - kLateLoss) *
          (Risk(wait + delay_ms, deadline) - Risk(wait, deadline));
  return harm * load.value;
}

std::vector<FleetScheduler::Candidate> FleetScheduler::RankCandidates(
    const WorkRequest& request,
    const std::vector<EngineView>& views,
    double read_ms,
    size_t parts,
    absl::Time now) {
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  const int64_t needed = request.prompt_tokens + request.output_tokens;
  const double due_ms = absl::ToDoubleMilliseconds(request.due - now);
  std::vector<Candidate> candidates;
  for (const EngineView& view : views) {
    const bool can_be_only = view.has_slot && view.free_tokens >= needed;
    if (parts == 1 && !can_be_only)
      continue;
    Candidate candidate{.view = &view,
                        .estimate = EstimateRead(view, read_ms, now)};
    const Estimate& estimate = candidate.estimate;
    const double shared =
        estimate.harm + view.preference +
        std::min(view.faults, kMostFaults) * kFaultCost * value;
    candidate.cost_as_lead =
        shared + Risk(estimate.lead_ms, due_ms) * value * kLateLoss;
    if (parts == 1) {
      candidate.cost_as_lead -= kPackingBonus * view.requests;
      candidate.cost = candidate.cost_as_lead;
    } else {
      candidate.cost =
          shared + Risk(estimate.helper_ms, due_ms) * value * kLateLoss;
    }
    candidates.push_back(candidate);
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return candidates;
}

bool FleetScheduler::PutLeadFirst(std::vector<Candidate>* candidates,
                                  size_t parts,
                                  int64_t needed) {
  auto lead = candidates->end();
  for (auto it = candidates->begin(); it != candidates->end(); ++it) {
    if (!it->view->has_slot || it->view->free_tokens < needed)
      continue;
    if (lead == candidates->end() || it->cost_as_lead < lead->cost_as_lead)
      lead = it;
  }
  if (lead == candidates->end()) {
    // None holds it alone: the one with most room among the cheapest.
    const auto end = candidates->begin() + std::min(parts, candidates->size());
    lead = std::max_element(
        candidates->begin(), end, [](const Candidate& a, const Candidate& b) {
          return std::pair(a.view->has_slot, a.view->free_tokens) <
                 std::pair(b.view->has_slot, b.view->free_tokens);
        });
    if (lead == end || !lead->view->has_slot)
      return false;
  }
  std::rotate(candidates->begin(), lead, lead + 1);
  return true;
}

bool FleetScheduler::ShareMemory(const std::vector<Candidate>& parts,
                                 int64_t needed,
                                 std::vector<MemoryShare>* memory) {
  int64_t missing = needed - parts.front().view->free_tokens;
  if (missing <= 0)
    return true;
  missing += missing / kMemoryMarginDivisor + kMemoryBlock;
  std::vector<const EngineView*> holders;
  for (size_t i = 1; i < parts.size(); ++i)
    holders.push_back(parts[i].view);
  std::stable_sort(holders.begin(), holders.end(),
                   [](const EngineView* a, const EngineView* b) {
                     return a->free_tokens > b->free_tokens;
                   });
  for (const EngineView* holder : holders) {
    if (missing <= 0)
      break;
    const int64_t share = std::min(missing, holder->free_tokens);
    if (share < kMemoryBlock)
      break;
    memory->push_back(
        {.upstream = holder->upstream->info.key, .tokens = share});
    missing -= share;
  }
  return missing <= 0;
}

FleetScheduler::Choice FleetScheduler::ChooseParts(
    const WorkRequest& request,
    const std::vector<EngineView>& views,
    double read_ms,
    size_t parts,
    absl::Time now) {
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  const int64_t needed = request.prompt_tokens + request.output_tokens;
  std::vector<Candidate> candidates = RankCandidates(
      request, views, read_ms / static_cast<double>(parts), parts, now);
  Choice choice;
  if (candidates.size() < parts || !PutLeadFirst(&candidates, parts, needed))
    return choice;
  candidates.resize(parts);
  if (!ShareMemory(candidates, needed, &choice.memory))
    return choice;
  double first_ms = 0;
  double faults = 0;
  for (const Candidate& candidate : candidates) {
    const bool leads = choice.upstreams.empty();
    choice.upstreams.push_back(candidate.view->upstream);
    first_ms = std::max(first_ms, leads ? candidate.estimate.lead_ms
                                        : candidate.estimate.helper_ms);
    choice.harm += candidate.estimate.harm;
    faults += candidate.view->faults;
  }
  const Candidate& lead = candidates.front();
  const double due_ms = absl::ToDoubleMilliseconds(request.due - now);
  const double gap_ms = absl::ToDoubleMilliseconds(request.event_gap);
  choice.first_part = absl::Milliseconds(first_ms);
  choice.fault_cost = std::min(faults, kMostFaults) * kFaultCost * value;
  choice.cost = choice.harm + choice.fault_cost +
                Risk(first_ms, due_ms) * value * kLateLoss +
                Risk(lead.estimate.pass_ms, gap_ms) * value * kOwnGapLoss +
                kPartCost * static_cast<double>(parts);
  if (parts == 1)
    choice.cost -= kPackingBonus * lead.view->requests;
  return choice;
}

FleetScheduler::Choice FleetScheduler::ChooseEngines(
    const EngineProfile& engine,
    const WorkRequest& request,
    absl::Time now) {
  std::vector<UpstreamState*> usable = Usable(request, now);
  const auto was_tried = [&](const UpstreamState* state) {
    return std::find(request.avoid.begin(), request.avoid.end(),
                     state->info.key) != request.avoid.end();
  };
  // One that failed before is better than none.
  if (!std::all_of(usable.begin(), usable.end(), was_tried))
    std::erase_if(usable, was_tried);
  const bool may_split = ReadTime(engine, request.prompt_tokens) > kSplitFrom;
  std::vector<EngineView> views;
  for (UpstreamState* upstream : usable)
    views.push_back(ViewOf(engine, upstream, now));
  const double read_ms =
      absl::ToDoubleMilliseconds(ReadTime(engine, request.prompt_tokens));
  std::vector<Choice> choices;
  for (size_t parts : kPartCounts) {
    if (parts > 1 && (!may_split || parts > usable.size()))
      break;
    Choice choice = ChooseParts(request, views, read_ms, parts, now);
    if (choice.upstreams.empty())
      continue;
    choices.push_back(std::move(choice));
  }
  if (choices.empty())
    return {};
  const bool all_late =
      std::all_of(choices.begin(), choices.end(), [&](const Choice& choice) {
        return now + choice.first_part > request.due;
      });
  // What is late in any case is read by few, so that others find free engines.
  const auto cost = [&](const Choice& choice) {
    if (!all_late)
      return choice.cost;
    const bool in_time =
        now + choice.first_part * kLateReserve < request.deadline;
    return choice.harm +
           kLatePartCost * static_cast<double>(choice.upstreams.size()) +
           (in_time ? 0 : kTooLateCost);
  };
  Choice best = *std::min_element(
      choices.begin(), choices.end(),
      [&](const Choice& a, const Choice& b) { return cost(a) < cost(b); });
  best.fastest = absl::InfiniteDuration();
  for (const Choice& choice : choices)
    best.fastest = std::min(best.fastest, choice.first_part);
  return best;
}

FleetScheduler::Choice FleetScheduler::ChoosePlain(const WorkRequest& request,
                                                   absl::Time now) {
  Choice best;
  std::tuple<bool, double, absl::Time, double> best_rank;
  for (UpstreamState* state : Usable(request, now)) {
    const double slots = std::max(state->info.slots, 1);
    const double running = static_cast<double>(state->loads.size());
    if (running >= slots * (1 + kPlainOverflow))
      continue;
    const bool tried = std::find(request.avoid.begin(), request.avoid.end(),
                                 state->info.key) != request.avoid.end();
    const double load = running / slots + FaultsNow(*state, now);
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
  int slots = 0;
  int taken = 0;
  for (const auto& [key, state] : upstreams_) {
    if (!state.eligible || state.info.service != request.service)
      continue;
    slots += state.info.slots;
    for (const Load& load : state.loads)
      taken += load.is_part ? 0 : 1;
  }
  return slots - taken < kReservedSlots * slots;
}

double FleetScheduler::ReadPrice(const WorkRequest& request,
                                 absl::Time now) const {
  const EngineProfile& engine = *EngineOf(request.service);
  absl::Duration owed;
  double engines = 0;
  for (const auto& [key, state] : upstreams_) {
    if (!state.eligible || state.info.service != request.service)
      continue;
    ++engines;
    owed += std::max(state.read_until - now, absl::ZeroDuration());
  }
  for (const auto& [key, entry] : waiting_) {
    const WorkRequest& other = entry.request;
    if (key == request.key || other.service != request.service ||
        other.due < now)
      continue;
    owed += ReadTime(engine, other.prompt_tokens);
  }
  if (engines == 0)
    return 0;
  const double share = absl::FDivDuration(owed / engines - kFreeBacklog,
                                          kFullBacklog - kFreeBacklog);
  return kFullReadPrice * std::clamp(share, 0.0, 1.0);
}

FleetScheduler::Verdict FleetScheduler::Judge(const WorkRequest& request,
                                              const Choice& choice,
                                              absl::Duration read,
                                              absl::Time now) const {
  if (choice.upstreams.empty()) {
    const absl::Time patience =
        request.due + (request.deadline - request.due) * kLatePatience;
    const bool is_hopeless = read > absl::ZeroDuration() && now >= patience &&
                             IsShortOfSlots(request);
    return is_hopeless ? Verdict::kRefuse : Verdict::kWait;
  }
  if (read == absl::ZeroDuration())
    return Verdict::kPlace;
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  const double loss =
      choice.harm + ReadPrice(request, now) * absl::ToDoubleMilliseconds(read);
  const bool is_late = now + choice.first_part > request.due;
  const double gain = is_late ? value * (1 - kLateLoss) : value;
  if (!is_late) {
    // While there is time, a better moment may come.
    const bool has_time = now + choice.first_part * 1.3 < request.due;
    return has_time && choice.cost - choice.fault_cost > kWaitAbove * value
               ? Verdict::kWait
               : Verdict::kPlace;
  }
  if (IsShortOfSlots(request)) {
    const absl::Time patience =
        request.due + (request.deadline - request.due) * kLatePatience;
    return now < patience ? Verdict::kWait : Verdict::kRefuse;
  }
  if (loss <= gain)
    return Verdict::kPlace;
  if (now + choice.fastest * kLastMoment < request.deadline)
    return Verdict::kWait;
  return loss <= gain * kLastChance ? Verdict::kPlace : Verdict::kRefuse;
}

void FleetScheduler::Place(const WorkRequest& request,
                           const Choice& choice,
                           absl::Time now) {
  Placement placement{.request = request};
  const EngineProfile* engine = EngineOf(request.service);
  const double parts = static_cast<double>(choice.upstreams.size());
  const absl::Duration read =
      engine ? ReadTime(*engine, request.prompt_tokens) / parts
             : absl::ZeroDuration();
  const int64_t needed = request.prompt_tokens + request.output_tokens;
  std::map<UpstreamKey, int64_t> shares;
  int64_t shared = 0;
  for (const MemoryShare& share : choice.memory) {
    shares[share.upstream] = share.tokens;
    shared += share.tokens;
  }
  for (size_t i = 0; i < choice.upstreams.size(); ++i) {
    UpstreamState& state = *choice.upstreams[i];
    placement.upstreams.push_back(state.info.key);
    for (Load& load : state.loads) {
      if (!load.answering)
        load.expected += read * state.pace;
    }
    const int64_t share = shares[state.info.key];
    state.loads.push_back(
        {.key = request.key,
         .is_part = i > 0,
         .tokens = i > 0 ? share : needed - shared,
         .due = request.due,
         .deadline = request.deadline,
         .expected = now + choice.first_part,
         .gap_ms = absl::ToDoubleMilliseconds(request.event_gap),
         .value = RequestValue(request.prompt_tokens, request.output_tokens)});
    state.read_until = std::max(state.read_until, now) + read * state.pace;
    state.last_placed = now;
  }
  running_[request.key] = std::move(placement);
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
    const absl::Duration read =
        engine ? ReadTime(*engine, request.prompt_tokens) /
                     static_cast<double>(kPartCounts.back())
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

std::vector<ScheduleDecision> FleetScheduler::Run(absl::Time now) {
  std::vector<ScheduleDecision> decisions;
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    ExpireRunning(now);
  }
  if (waiting_.empty())
    return decisions;
  for (WorkKey key : InOrder(now)) {
    const WorkRequest request = waiting_.at(key).request;
    const EngineProfile* engine = EngineOf(request.service);
    const bool is_prompt = engine != nullptr && request.prompt_tokens > 0;
    if (request.deadline <= now) {
      waiting_.erase(key);
      decisions.push_back({.kind = ScheduleDecision::Kind::kRefuse,
                           .key = key,
                           .retry_after = kRetryAfter});
      continue;
    }
    Choice choice = is_prompt ? ChooseEngines(*engine, request, now)
                              : ChoosePlain(request, now);
    const absl::Duration read = is_prompt
                                    ? ReadTime(*engine, request.prompt_tokens)
                                    : absl::ZeroDuration();
    const Verdict verdict = Judge(request, choice, read, now);
    if (verdict == Verdict::kWait) {
      if (is_prompt)
        waiting_.at(key).next_look = now + LookInterval(request, now);
      continue;
    }
    if (verdict == Verdict::kRefuse) {
      waiting_.erase(key);
      decisions.push_back({.kind = ScheduleDecision::Kind::kRefuse,
                           .key = key,
                           .retry_after = kRetryAfter});
      continue;
    }
    Place(request, choice, now);
    waiting_.erase(key);
    ScheduleDecision decision{.key = key,
                              .upstream = choice.upstreams.front()->info.key,
                              .expected = choice.first_part};
    for (size_t i = 1; i < choice.upstreams.size(); ++i)
      decision.helpers.push_back(choice.upstreams[i]->info.key);
    decision.memory = choice.memory;
    decisions.push_back(std::move(decision));
  }
  return decisions;
}

}  // namespace chicory
