#include "modules/decisions/prompt_placement.h"

#include <algorithm>
#include <array>
#include <utility>

namespace chicory {

namespace {

/** Below this share of a limit an estimate is safe; the risk grows to certain
    at kCertainShare. */
constexpr double kSafeShare = 0.6;
constexpr double kCertainShare = 1.05;
/** Time between the upstream and the caller, both ways and in queues. */
constexpr double kTransitMs = 12;
/** Numbers of engines that a prompt may be read by. */
constexpr std::array<size_t, 8> kPartCounts = {1, 2, 3, 4, 6, 9, 13, kMaxParts};
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
/** Cost of a recent fault, as a part of a request's value. */
constexpr double kFaultCost = 0.3;
/** More recent fault_score than this cost no more. */
constexpr double kMostFaults = 2;
/** Part of a request's value that a long first pause of its own costs. */
constexpr double kOwnGapLoss = kLateLoss / 4;

/** Streams at one engine that bear the same pause. */
struct GapGroup {
  double gap_ms = 0;
  /** Sum over the streams. */
  double value = 0;
};

/** An engine as it is now, in milliseconds, for the arrangements of one
    request. */
struct EngineView {
  ScheduledUpstream* upstream = nullptr;
  /** A pass without reading. */
  double base_ms = 0;
  /** Reading that is owed. */
  double backlog_ms = 0;
  double fault_score = 0;
  double preference = 0;
  int writers = 0;
  int requests = 0;
  bool has_slot = false;
  /** Tokens that its memory can still take. */
  int64_t free_tokens = 0;
  std::vector<GapGroup> gaps;
  std::vector<const UpstreamLoad*> unread;
};

/** What one engine's part in a prompt would do. */
struct Estimate {
  /** Value that others there would lose. */
  double harm = 0;
  double pass_ms = 0;
  /** Until it has read its part after all that it reads for others, and
      writes the answer. */
  double lead_ms = 0;
  /** Until it has read its part, which it turns to at once. */
  double helper_ms = 0;
};

/** An engine that might take a part. */
struct Candidate {
  const EngineView* view = nullptr;
  Estimate estimate;
  double cost = 0;
  double cost_as_lead = 0;
};

/** Probability that something estimated as `time_ms` exceeds `limit_ms`. */
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
  int64_t held = 0;
  for (const UpstreamLoad& load : upstream->loads) {
    held += load.tokens;
    view.requests += load.is_prompt_part ? 0 : 1;
    if (!load.answering) {
      view.unread.push_back(&load);
      continue;
    }
    if (load.is_prompt_part)
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
      absl::ToDoubleMilliseconds(PassTime(engine, view.writers, context));
  view.backlog_ms =
      std::max(absl::ToDoubleMilliseconds(upstream->prefill_until - now), 0.0);
  view.has_slot = view.requests < upstream->info.slots;
  const int64_t memory = static_cast<int64_t>(
      kMemoryShare * static_cast<double>(engine.memory_tokens));
  view.free_tokens = std::max<int64_t>(memory - held, 0);
  return view;
}

/** What `load` loses in value when the engine that reads it turns to another
    read first. */
double DelayHarm(const UpstreamLoad& load, double delay_ms, absl::Time now) {
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

Estimate EstimateRead(const EngineView& view, double read_ms, absl::Time now) {
  const double own_ms = read_ms;
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
  for (const UpstreamLoad* load : view.unread)
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

std::vector<Candidate> RankCandidates(const WorkRequest& request,
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
        std::min(view.fault_score, kMostFaults) * kFaultCost * value;
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

bool ShareMemory(const std::vector<Candidate>& parts,
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

PlacementOption ChooseParts(const WorkRequest& request,
                            const std::vector<EngineView>& views,
                            double read_ms,
                            size_t parts,
                            absl::Time now) {
  const double value =
      RequestValue(request.prompt_tokens, request.output_tokens);
  const int64_t needed = request.prompt_tokens + request.output_tokens;
  std::vector<Candidate> candidates = RankCandidates(
      request, views, read_ms / static_cast<double>(parts), parts, now);
  PlacementOption option;
  if (candidates.size() < parts || !PutLeadFirst(&candidates, parts, needed))
    return option;
  candidates.resize(parts);
  if (!ShareMemory(candidates, needed, &option.memory))
    return option;
  double first_ms = 0;
  double fault_score = 0;
  for (const Candidate& candidate : candidates) {
    const bool leads = option.upstreams.empty();
    option.upstreams.push_back(candidate.view->upstream);
    first_ms = std::max(first_ms, leads ? candidate.estimate.lead_ms
                                        : candidate.estimate.helper_ms);
    option.harm += candidate.estimate.harm;
    fault_score += candidate.view->fault_score;
  }
  const Candidate& lead = candidates.front();
  const double due_ms = absl::ToDoubleMilliseconds(request.due - now);
  const double gap_ms = absl::ToDoubleMilliseconds(request.event_gap);
  option.first_part = absl::Milliseconds(first_ms);
  option.fault_cost = std::min(fault_score, kMostFaults) * kFaultCost * value;
  option.cost = option.harm + option.fault_cost +
                Risk(first_ms, due_ms) * value * kLateLoss +
                Risk(lead.estimate.pass_ms, gap_ms) * value * kOwnGapLoss +
                kPartCost * static_cast<double>(parts);
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
  const auto was_tried = [&](const ScheduledUpstream* state) {
    return std::find(request.avoid.begin(), request.avoid.end(),
                     state->info.key) != request.avoid.end();
  };
  // One that failed before is better than none.
  if (!std::all_of(usable.begin(), usable.end(), was_tried))
    std::erase_if(usable, was_tried);
  const bool may_split = ReadTime(engine, request.prompt_tokens) > kSplitFrom;
  std::vector<EngineView> views;
  for (ScheduledUpstream* upstream : usable)
    views.push_back(ViewOf(engine, upstream, now));
  const double read_ms =
      absl::ToDoubleMilliseconds(ReadTime(engine, request.prompt_tokens));
  std::vector<PlacementOption> options;
  for (size_t parts : kPartCounts) {
    if (parts > 1 && (!may_split || parts > usable.size()))
      break;
    PlacementOption option = ChooseParts(request, views, read_ms, parts, now);
    if (option.upstreams.empty())
      continue;
    options.push_back(std::move(option));
  }
  if (options.empty())
    return {};
  const bool all_late = std::all_of(
      options.begin(), options.end(), [&](const PlacementOption& option) {
        return now + option.first_part > request.due;
      });
  // What is late in any case is read by few, so that others find free engines.
  const auto cost = [&](const PlacementOption& option) {
    if (!all_late)
      return option.cost;
    const bool in_time =
        now + option.first_part * kLateReserve < request.deadline;
    return option.harm +
           kLatePartCost * static_cast<double>(option.upstreams.size()) +
           (in_time ? 0 : kTooLateCost);
  };
  PlacementOption best = *std::min_element(
      options.begin(), options.end(),
      [&](const PlacementOption& a, const PlacementOption& b) {
        return cost(a) < cost(b);
      });
  best.fastest = absl::InfiniteDuration();
  for (const PlacementOption& option : options)
    best.fastest = std::min(best.fastest, option.first_part);
  return best;
}

}  // namespace chicory
