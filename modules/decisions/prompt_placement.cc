#include "modules/decisions/prompt_placement.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicory {

namespace {

/** Risk() is 0 for estimates up to this share of the limit, and grows linearly
    to 1 at kCertainShare. */
constexpr double kSafeShare = 0.6;
constexpr double kCertainShare = 1.05;
/** Time between the caller and the upstream, in both directions and with
    queueing. */
constexpr double kTransitMs = 12;
/** The numbers of engines that are considered for one prompt. */
constexpr std::array<size_t, 8> kPartCounts = {1, 2, 3, 4, 6, 9, 13, kMaxParts};
/** A prompt is split only if its prefill on one engine takes longer. */
constexpr absl::Duration kMinSplitPrefill = absl::Milliseconds(60);
/** Cost of each engine that takes part, in units of value. */
constexpr double kPerEngineCost = 0.004;
/** The same for a prompt that is late with any number of engines. */
constexpr double kLatePerEngineCost = 0.5;
/** Cost of an option that would miss the deadline. */
constexpr double kTooLateCost = 1000;
/** Margin on the estimated time to the first event of a late prompt, when it is
    compared with the deadline. */
constexpr double kLateTimeFactor = 1.5;
/** Bonus of an engine for each request that already runs there. */
constexpr double kPackingBonus = 0.006;
/** Share of an engine's memory that its requests may be expected to fill. */
constexpr double kUsableMemoryShare = 0.95;
/** Share of its value that a request loses for each millisecond by which other
    prompts delay its prefill. */
constexpr double kDelayCostPerMs = 0.05 / 1000;
/** A caller is assumed to abandon a stream after a gap of kMinAbandonMs, or of
    kAbandonGaps times the gap that counts as on time, whichever is longer. */
constexpr double kMinAbandonMs = 2000;
constexpr double kAbandonGaps = 8;
/** Engines reserve memory in blocks of this size. */
constexpr int64_t kMemoryBlockTokens = 16;
/** The memory reserved at helpers exceeds the need by one part in this many,
    plus one block. */
constexpr int64_t kMemoryMarginDivisor = 50;
/** Cost of a recent fault, as a share of the request's value. */
constexpr double kFaultCost = 0.3;
/** Faults beyond this score cost nothing more. */
constexpr double kMaxFaultScore = 2;
/** Share of its value that a request loses if the pass with its own prefill is
    longer than its event gap. */
constexpr double kOwnGapLoss = kLateLoss / 4;

/** The streams at one engine that have the same event gap limit. */
struct GapGroup {
  double gap_ms = 0;
  /** Sum of the values of the streams. */
  double value = 0;
};

/** The state of an engine, for comparing the options for one request. */
struct EngineView {
  ScheduledUpstream* upstream = nullptr;
  /** Time of a pass without prefill. */
  double base_ms = 0;
  /** Prefill of all prompts that are placed here. */
  double backlog_ms = 0;
  double fault_score = 0;
  double preference = 0;
  int decoding_sequences = 0;
  int requests = 0;
  bool has_slot = false;
  /** Free memory, in tokens. */
  int64_t free_tokens = 0;
  std::vector<GapGroup> gaps;
  std::vector<const UpstreamLoad*> pending_prefill;
};

/** The effects of prefilling a part of a prompt on one engine. */
struct Estimate {
  /** Value that the other requests at the engine lose. */
  double cost_to_others = 0;
  /** Time of the pass that includes the prefill. */
  double pass_ms = 0;
  /** Time to the first event if the engine leads: the part comes after the
      whole prefill backlog. */
  double lead_ms = 0;
  /** Time until the part is ready if the engine is a helper: a helper prefills
      the newest part first. */
  double helper_ms = 0;
};

/** An engine that can take a part, with the cost of doing so. */
struct Candidate {
  const EngineView* view = nullptr;
  Estimate estimate;
  double cost = 0;
  double cost_as_lead = 0;
};

/** Returns the probability that a duration estimated as `time_ms` exceeds
    `limit_ms`. */
double Risk(double time_ms, double limit_ms) {
  if (limit_ms <= 0)
    return 1;
  const double share = time_ms / limit_ms;
  return std::clamp((share - kSafeShare) / (kCertainShare - kSafeShare), 0.0,
                    1.0);
}

EngineView ViewOf(const EngineProfile& engine,
                  ScheduledUpstream* upstream,
                  absl::Time now) {
  EngineView view{.upstream = upstream,
                  .fault_score = upstream->FaultScoreAt(now),
                  .preference = upstream->preference};
  int64_t context = 0;
  int64_t reserved = 0;
  for (const UpstreamLoad& load : upstream->loads) {
    reserved += load.tokens;
    view.requests += load.is_prompt_part ? 0 : 1;
    if (!load.response_started) {
      view.pending_prefill.push_back(&load);
      continue;
    }
    if (load.is_prompt_part)
      continue;
    ++view.decoding_sequences;
    context += load.tokens;
    auto group = std::find_if(
        view.gaps.begin(), view.gaps.end(),
        [&](const GapGroup& known) { return known.gap_ms == load.gap_ms; });
    if (group == view.gaps.end())
      view.gaps.push_back({.gap_ms = load.gap_ms, .value = load.value});
    else
      group->value += load.value;
  }
  view.base_ms = absl::ToDoubleMilliseconds(
      PassTime(engine, view.decoding_sequences, context));
  view.backlog_ms =
      std::max(absl::ToDoubleMilliseconds(upstream->prefill_until - now), 0.0);
  view.has_slot = view.requests < upstream->info.slots;
  const int64_t memory = static_cast<int64_t>(
      kUsableMemoryShare * static_cast<double>(engine.memory_tokens));
  view.free_tokens = std::max<int64_t>(memory - reserved, 0);
  return view;
}

/** Returns the value that `load` loses if another prefill at its engine delays
    its own. */
double DelayCost(const UpstreamLoad& load, double delay_ms, absl::Time now) {
  const double wait =
      std::max(absl::ToDoubleMilliseconds(load.expected - now), 0.0);
  const double due = absl::ToDoubleMilliseconds(load.due - now);
  const double deadline = absl::ToDoubleMilliseconds(load.deadline - now);
  double cost_to_others = kDelayCostPerMs * delay_ms;
  if (due > 0)
    cost_to_others +=
        kLateLoss * (Risk(wait + delay_ms, due) - Risk(wait, due));
  cost_to_others += (1 - kLateLoss) *
                    (Risk(wait + delay_ms, deadline) - Risk(wait, deadline));
  return cost_to_others * load.value;
}

Estimate EstimatePrefill(const EngineView& view,
                         double prefill_ms,
                         absl::Time now) {
  const double own_ms = prefill_ms;
  double lead_begin = view.backlog_ms;
  double helper_begin = 0;
  // A pass with decoding sequences finishes all pending prefill before the next
  // pass begins. On average half of the present pass remains.
  if (view.decoding_sequences > 0)
    lead_begin = helper_begin = std::max(view.backlog_ms, view.base_ms / 2);
  const double after = own_ms + view.base_ms + kTransitMs;
  const double pass_before = view.base_ms + view.backlog_ms;
  Estimate estimate{.pass_ms = pass_before + own_ms,
                    .lead_ms = lead_begin + after,
                    .helper_ms = helper_begin + after};
  for (const UpstreamLoad* load : view.pending_prefill)
    estimate.cost_to_others += DelayCost(*load, own_ms, now);
  for (const GapGroup& group : view.gaps) {
    const double late =
        Risk(estimate.pass_ms, group.gap_ms) - Risk(pass_before, group.gap_ms);
    const double abandon_ms =
        std::max(kMinAbandonMs, group.gap_ms * kAbandonGaps);
    const double abandoned =
        Risk(estimate.pass_ms, abandon_ms) - Risk(pass_before, abandon_ms);
    estimate.cost_to_others +=
        group.value * (late * kLateLoss + abandoned * (1 - kLateLoss));
  }
  return estimate;
}

/** Returns the engines that can take one of `parts` parts, cheapest first. */
std::vector<Candidate> RankCandidates(const WorkRequest& request,
                                      const std::vector<EngineView>& views,
                                      double prefill_ms,
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
                        .estimate = EstimatePrefill(view, prefill_ms, now)};
    const Estimate& estimate = candidate.estimate;
    const double shared =
        estimate.cost_to_others + view.preference +
        std::min(view.fault_score, kMaxFaultScore) * kFaultCost * value;
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

/** Moves the lead engine to the front, or returns false if none can lead. */
bool PutLeadFirst(std::vector<Candidate>* candidates,
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
    // No engine can hold the whole request: choose the one with the most free
    // memory among the cheapest.
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

/** Distributes the memory that the lead engine lacks over its helpers, those
    with the most free memory first. Returns false if they have too little. */
bool DistributeMemory(const std::vector<Candidate>& parts,
                      int64_t needed,
                      std::vector<MemoryShare>* memory) {
  int64_t missing = needed - parts.front().view->free_tokens;
  if (missing <= 0)
    return true;
  missing += missing / kMemoryMarginDivisor + kMemoryBlockTokens;
  std::vector<const EngineView*> helpers;
  for (size_t i = 1; i < parts.size(); ++i)
    helpers.push_back(parts[i].view);
  std::stable_sort(helpers.begin(), helpers.end(),
                   [](const EngineView* a, const EngineView* b) {
                     return a->free_tokens > b->free_tokens;
                   });
  for (const EngineView* helper : helpers) {
    if (missing <= 0)
      break;
    const int64_t share = std::min(missing, helper->free_tokens);
    if (share < kMemoryBlockTokens)
      break;
    memory->push_back(
        {.upstream = helper->upstream->info.key, .tokens = share});
    missing -= share;
  }
  return missing <= 0;
}

/** Returns the cheapest option with `parts` engines; without upstreams if there
    is none. */
PlacementOption ChooseParts(const WorkRequest& request,
                            const std::vector<EngineView>& views,
                            double prefill_ms,
                            size_t parts,
                            absl::Time now) {
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  const int64_t needed = request.prompt_tokens + request.output_tokens;
  std::vector<Candidate> candidates = RankCandidates(
      request, views, prefill_ms / static_cast<double>(parts), parts, now);
  PlacementOption option;
  if (candidates.size() < parts || !PutLeadFirst(&candidates, parts, needed))
    return option;
  candidates.resize(parts);
  if (!DistributeMemory(candidates, needed, &option.memory))
    return option;
  double first_event_ms = 0;
  double fault_score = 0;
  for (const Candidate& candidate : candidates) {
    const bool leads = option.upstreams.empty();
    option.upstreams.push_back(candidate.view->upstream);
    first_event_ms =
        std::max(first_event_ms, leads ? candidate.estimate.lead_ms
                                       : candidate.estimate.helper_ms);
    option.cost_to_others += candidate.estimate.cost_to_others;
    fault_score += candidate.view->fault_score;
  }
  const Candidate& lead = candidates.front();
  const double due_ms = absl::ToDoubleMilliseconds(request.due - now);
  const double gap_ms = absl::ToDoubleMilliseconds(request.event_gap);
  option.time_to_first_event = absl::Milliseconds(first_event_ms);
  option.fault_cost =
      std::min(fault_score, kMaxFaultScore) * kFaultCost * value;
  option.cost = option.cost_to_others + option.fault_cost +
                Risk(first_event_ms, due_ms) * value * kLateLoss +
                Risk(lead.estimate.pass_ms, gap_ms) * value * kOwnGapLoss +
                kPerEngineCost * static_cast<double>(parts);
  if (parts == 1)
    option.cost -= kPackingBonus * lead.view->requests;
  return option;
}

}  // namespace

PlacementOption ChooseEngines(const EngineProfile& engine,
                              const WorkRequest& request,
                              std::vector<ScheduledUpstream*> upstreams,
                              absl::Time now) {
  std::vector<ScheduledUpstream*> usable = std::move(upstreams);
  const auto was_attempted = [&](const ScheduledUpstream* state) {
    return std::find(request.avoid.begin(), request.avoid.end(),
                     state->info.key) != request.avoid.end();
  };
  // Upstreams of failed attempts are used only if there are no others.
  if (!std::all_of(usable.begin(), usable.end(), was_attempted))
    std::erase_if(usable, was_attempted);
  const bool may_split =
      PrefillTime(engine, request.prompt_tokens) > kMinSplitPrefill;
  std::vector<EngineView> views;
  for (ScheduledUpstream* upstream : usable)
    views.push_back(ViewOf(engine, upstream, now));
  const double prefill_ms =
      absl::ToDoubleMilliseconds(PrefillTime(engine, request.prompt_tokens));
  std::vector<PlacementOption> options;
  for (size_t parts : kPartCounts) {
    if (parts > 1 && (!may_split || parts > usable.size()))
      break;
    PlacementOption option =
        ChooseParts(request, views, prefill_ms, parts, now);
    if (option.upstreams.empty())
      continue;
    options.push_back(std::move(option));
  }
  if (options.empty())
    return {};
  const bool all_late = std::all_of(
      options.begin(), options.end(), [&](const PlacementOption& option) {
        return now + option.time_to_first_event > request.due;
      });
  // A prompt that is late with any option is split over few engines, which
  // leaves the others free for prompts that can be on time.
  const auto cost = [&](const PlacementOption& option) {
    if (!all_late)
      return option.cost;
    const bool in_time =
        now + option.time_to_first_event * kLateTimeFactor < request.deadline;
    return option.cost_to_others +
           kLatePerEngineCost * static_cast<double>(option.upstreams.size()) +
           (in_time ? 0 : kTooLateCost);
  };
  PlacementOption best = *std::min_element(
      options.begin(), options.end(),
      [&](const PlacementOption& a, const PlacementOption& b) {
        return cost(a) < cost(b);
      });
  best.min_time_to_first_event = absl::InfiniteDuration();
  for (const PlacementOption& option : options)
    best.min_time_to_first_event =
        std::min(best.min_time_to_first_event, option.time_to_first_event);
  return best;
}

}  // namespace chicory
