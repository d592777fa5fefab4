#include "modules/decisions/scheduled_upstream_table.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

/** Maximum cost of a scheduler's preference. It is less than the bonus of an
    engine that already has a stream (kPackingBonus), so that it only breaks
    ties. */
constexpr double kPreferenceCost = 0.004;
/** Time for which an upstream that reported that it is at capacity gets no
    work. */
constexpr absl::Duration kFullBackoff = absl::Milliseconds(100);

double PreferenceOf(UpstreamKey key, uint64_t seed) {
  const std::array<uint64_t, 2> pair = {key, seed};
  const uint64_t hash = StableHash(std::string_view(
      reinterpret_cast<const char*>(pair.data()), sizeof(pair)));
  constexpr double kSteps = 1024;
  return kPreferenceCost * static_cast<double>(hash % 1024) / kSteps;
}

}  // namespace

void ScheduledUpstreamTable::SetUpstreams(
    const std::vector<UpstreamSpec>& upstreams) {
  for (auto& [key, state] : rows_)
    state.eligible = false;
  for (const UpstreamSpec& upstream : upstreams) {
    ScheduledUpstream& state = rows_[upstream.key];
    state.info = upstream;
    state.preference = PreferenceOf(upstream.key, preference_seed_);
    state.eligible = true;
  }
  std::erase_if(rows_, [](const auto& entry) {
    return !entry.second.eligible && entry.second.loads.empty();
  });
}

ScheduledUpstream* ScheduledUpstreamTable::Find(UpstreamKey key) {
  auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

std::vector<ScheduledUpstream*> ScheduledUpstreamTable::Usable(
    const std::string& service,
    const RequestLimits& limits,
    const LimitUse& use,
    absl::Time now) {
  const LimitShares shares = SharesOf(service, limits, use, now);
  std::vector<ScheduledUpstream*> healthy;
  std::vector<ScheduledUpstream*> suspended;
  for (auto& [key, state] : rows_) {
    if (!state.eligible || state.info.service != service ||
        state.full_until > now || !limits.Allows(key, now, shares))
      continue;
    if (!use.allowed && limits.RateOf(key, now) != RequestLimit::kNone)
      continue;
    if (state.suspended_until > now)
      suspended.push_back(&state);
    else
      healthy.push_back(&state);
  }
  // If all are suspended, the cause is probably not in the upstreams: use them.
  return healthy.empty() ? suspended : healthy;
}

LimitShares ScheduledUpstreamTable::SharesOf(const std::string& service,
                                             const RequestLimits& limits,
                                             const LimitUse& use,
                                             absl::Time now) const {
  if (use.cold_share > 0 || limits.empty())
    return {.named = use.named_share, .cold = use.cold_share};
  const bool are_all_cold =
      std::all_of(rows_.begin(), rows_.end(), [&](const auto& entry) {
        const ScheduledUpstream& state = entry.second;
        return !state.eligible || state.info.service != service ||
               limits.IsCold(entry.first, now);
      });
  return {.named = use.named_share,
          .cold = are_all_cold ? use.cold_share_if_all : 0};
}

double ScheduledUpstreamTable::LimitedRateOf(const std::string& service,
                                             const RequestLimits& limits,
                                             const LimitUse& use,
                                             absl::Time now) const {
  if (limits.empty())
    return RequestLimit::kNone;
  const LimitShares shares = SharesOf(service, limits, use, now);
  double rate = 0;
  for (const auto& [key, state] : rows_) {
    if (state.eligible && state.info.service == service)
      rate += limits.RateOf(key, now, shares);
  }
  return rate > 0 ? rate : RequestLimit::kNone;
}

std::vector<UpstreamKey> ScheduledUpstreamTable::Add(
    const WorkRequest& request,
    const PlacementOption& choice,
    absl::Duration prefill,
    absl::Time now) {
  const int64_t needed = request.prompt_tokens + request.output_tokens;
  std::map<UpstreamKey, int64_t> shares;
  int64_t shared = 0;
  for (const MemoryShare& share : choice.memory) {
    shares[share.upstream] = share.tokens;
    shared += share.tokens;
  }
  std::vector<UpstreamKey> upstreams;
  for (ScheduledUpstream* state : choice.upstreams) {
    const bool is_prompt_part = !upstreams.empty();
    upstreams.push_back(state->info.key);
    for (UpstreamLoad& load : state->loads) {
      if (!load.response_started)
        load.expected += prefill;
    }
    const int64_t share = shares[state->info.key];
    state->loads.push_back(
        {.key = request.key,
         .is_prompt_part = is_prompt_part,
         .tokens = is_prompt_part ? share : needed - shared,
         .due = request.due,
         .deadline = request.deadline,
         .expected = now + choice.time_to_first_event,
         .prefill = prefill,
         .gap_ms = absl::ToDoubleMilliseconds(request.event_gap),
         .value = RequestValue(request.prompt_tokens, request.output_tokens)});
    state->prefill_until = std::max(state->prefill_until, now) + prefill;
    state->last_placed = now;
  }
  return upstreams;
}

void ScheduledUpstreamTable::OnResponseStarted(
    WorkKey key,
    const std::vector<UpstreamKey>& upstreams,
    absl::Time now) {
  for (UpstreamKey upstream : upstreams) {
    ScheduledUpstream* state = Find(upstream);
    if (!state)
      continue;
    std::erase_if(state->loads, [&](const UpstreamLoad& load) {
      return load.key == key && load.is_prompt_part && load.tokens == 0;
    });
    for (UpstreamLoad& load : state->loads) {
      if (load.key == key)
        load.response_started = true;
    }
    state->LimitBacklog(now);
  }
}

void ScheduledUpstreamTable::Remove(WorkKey key,
                                    const std::vector<UpstreamKey>& upstreams,
                                    absl::Time now) {
  for (UpstreamKey upstream : upstreams) {
    auto found = rows_.find(upstream);
    if (found == rows_.end())
      continue;
    ScheduledUpstream& state = found->second;
    std::erase_if(state.loads,
                  [&](const UpstreamLoad& load) { return load.key == key; });
    state.LimitBacklog(now);
    if (state.loads.empty() && !state.eligible)
      rows_.erase(found);
  }
}

void ScheduledUpstreamTable::OnAttemptEnded(UpstreamKey upstream,
                                            AttemptResult result,
                                            absl::Time now) {
  ScheduledUpstream* state = Find(upstream);
  if (!state)
    return;
  switch (result) {
    case AttemptResult::kDone:
      state->fault_score = state->FaultScoreAt(now) / 2;
      state->fault_score_at = now;
      break;
    case AttemptResult::kFull:
      state->full_until = std::max(state->full_until, now + kFullBackoff);
      break;
    case AttemptResult::kFault:
    case AttemptResult::kCrash:
      state->AddFault(1, now);
      break;
    case AttemptResult::kCancelled:
      break;
  }
}

int ScheduledUpstreamTable::RunningAt(UpstreamKey upstream) const {
  auto found = rows_.find(upstream);
  if (found == rows_.end())
    return 0;
  const std::vector<UpstreamLoad>& loads = found->second.loads;
  return static_cast<int>(std::count_if(
      loads.begin(), loads.end(),
      [](const UpstreamLoad& load) { return !load.is_prompt_part; }));
}

ScheduledUpstreamTable::Slots ScheduledUpstreamTable::SlotsOf(
    const std::string& service) const {
  Slots slots;
  for (const auto& [key, state] : rows_) {
    if (!state.eligible || state.info.service != service)
      continue;
    slots.all += state.info.slots;
    for (const UpstreamLoad& load : state.loads)
      slots.taken += load.is_prompt_part ? 0 : 1;
  }
  return slots;
}

ScheduledUpstreamTable::PrefillBacklog ScheduledUpstreamTable::PrefillBacklogOf(
    const std::string& service,
    absl::Duration limit,
    absl::Time now) const {
  PrefillBacklog backlog;
  for (const auto& [key, state] : rows_) {
    if (!state.eligible || state.info.service != service)
      continue;
    ++backlog.engines;
    backlog.duration +=
        std::clamp(state.prefill_until - now, absl::ZeroDuration(), limit);
  }
  return backlog;
}

}  // namespace chicory
