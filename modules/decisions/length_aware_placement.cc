#include "modules/decisions/length_aware_placement.h"

#include <algorithm>
#include <cmath>

#include "absl/random/distributions.h"
#include "absl/time/time.h"

namespace chicory {

namespace {

/** Returns up to `count` distinct upstreams, chosen at random. */
std::vector<UpstreamId> Sample(const std::vector<UpstreamId>& eligible,
                               size_t count,
                               absl::BitGenRef random) {
  if (eligible.size() <= count)
    return eligible;
  std::vector<UpstreamId> sample;
  sample.reserve(count);
  while (sample.size() < count) {
    const UpstreamId id =
        eligible[absl::Uniform<size_t>(random, 0, eligible.size())];
    if (std::find(sample.begin(), sample.end(), id) == sample.end())
      sample.push_back(id);
  }
  return sample;
}

}  // namespace

absl::Duration LengthAwarePlacement::ContentionPenalty(const UpstreamRow& row,
                                                       int level,
                                                       int64_t need) const {
  int64_t waiting_below = 0;
  int64_t prefill_below = 0;
  for (int i = level + 1; i < kPriorityLevels; ++i) {
    waiting_below += row.report.waiting_memory_tokens[i];
    prefill_below += row.report.queued_prefill_tokens[i];
  }
  const auto margin = static_cast<int64_t>(options_.low_memory_share *
                                           row.report.memory_tokens);
  absl::Duration penalty = absl::ZeroDuration();
  if (waiting_below > 0 || row.FreeMemory(level) - need < margin)
    penalty += options_.low_memory_penalty;
  if (prefill_below > 0)
    penalty += options_.prefill_step_penalty;
  return penalty;
}

bool LengthAwarePlacement::Evaluate(const PlacementContext& context,
                                    const UpstreamRow& row,
                                    Candidate* candidate) const {
  const RequestRow& request = context.request;
  const int level = PriorityLevelOf(request.spec);
  const bool is_long = request.spec.prompt_tokens > kLongPromptTokens;
  const int64_t need = MemoryNeedOf(request.spec);
  if (request.crash_suspect && row.crash_suspects > 0)
    return false;
  const bool has_report = row.report.memory_tokens > 0;
  const int64_t headroom =
      is_long ? static_cast<int64_t>(options_.short_prompt_reserve *
                                     row.report.memory_tokens)
              : 0;
  if (has_report && row.FreeMemory(level) < need + headroom)
    return false;
  const int64_t ahead = row.PrefillAhead(level);
  if (is_long && (row.long_prefills >= options_.max_long_prefills ||
                  ahead > options_.max_queued_long_tokens)) {
    return false;
  }
  const size_t blocks =
      context.prefixes.MatchedBlocks(row.id, request.spec.prefix_blocks);
  const int64_t cached =
      std::min<int64_t>(blocks * kPrefixBlockTokens,
                        std::max<int64_t>(0, request.spec.prompt_tokens - 1));
  const double rate = row.report.prefill_tokens_per_second > 0
                          ? row.report.prefill_tokens_per_second
                          : options_.assumed_prefill_rate;
  const int64_t uncached = request.spec.prompt_tokens - cached;
  // A request that would wait too long at the upstream stays queued here, where
  // it can still be refused as not run.
  const absl::Duration queued = absl::Seconds(ahead / rate);
  if (queued > options_.max_queue_share * request.spec.first_token_within)
    return false;
  candidate->row = &row;
  candidate->cached_tokens = cached;
  candidate->time_to_first_token = absl::Seconds((ahead + uncached) / rate);
  if (has_report && !is_long)
    candidate->time_to_first_token += ContentionPenalty(row, level, need);
  return true;
}

PlacementChoice LengthAwarePlacement::Choose(const PlacementContext& context) {
  const RequestSpec& spec = context.request.spec;
  const std::vector<UpstreamId>& eligible =
      context.upstreams.Eligible(spec.pool, spec.model);
  PlacementChoice choice;
  if (eligible.empty())
    return choice;
  const bool is_long = spec.prompt_tokens > kLongPromptTokens;
  const int sample_size =
      is_long ? options_.long_sample_size : options_.sample_size;
  std::vector<UpstreamId> sample =
      Sample(eligible, sample_size, context.random);

  int64_t max_memory = 0;
  for (UpstreamId id : sample) {
    max_memory =
        std::max(max_memory, context.upstreams.Find(id)->report.memory_tokens);
  }
  const int64_t usable_memory = static_cast<int64_t>(
      max_memory * (is_long ? 1 - options_.short_prompt_reserve : 1));
  if (max_memory > 0 && MemoryNeedOf(spec) > usable_memory)
    return ChooseGroup(context, eligible, usable_memory, 1);

  const PrefixIndex::Match match =
      context.prefixes.LongestMatch(spec.prefix_blocks);
  if (match.blocks > 0)
    sample.push_back(match.upstream);
  Candidate best;
  for (UpstreamId id : sample) {
    const UpstreamRow* row = context.upstreams.Find(id);
    if (row == nullptr || row->state != UpstreamState::kLive)
      continue;
    Candidate candidate;
    if (!Evaluate(context, *row, &candidate))
      continue;
    if (candidate.time_to_first_token < best.time_to_first_token)
      best = candidate;
  }
  if (best.row == nullptr) {
    const bool is_large =
        MemoryNeedOf(spec) >
        options_.split_above_share * static_cast<double>(usable_memory);
    return is_long && is_large && max_memory > 0
               ? ChooseGroup(context, eligible, usable_memory, 2)
               : choice;
  }
  choice.upstreams = {best.row->id};
  choice.time_to_first_token = best.time_to_first_token;
  choice.cached_tokens = best.cached_tokens;
  return choice;
}

PlacementChoice LengthAwarePlacement::ChooseGroup(
    const PlacementContext& context,
    const std::vector<UpstreamId>& eligible,
    int64_t memory_per_upstream,
    size_t min_size) const {
  PlacementChoice choice;
  const RequestSpec& spec = context.request.spec;
  const int level = PriorityLevelOf(spec);
  const int64_t need = MemoryNeedOf(spec);
  const auto max_size = static_cast<size_t>(options_.max_group_size);
  const size_t size_by_memory = std::max<size_t>(
      min_size, (need + memory_per_upstream - 1) / memory_per_upstream);
  choice.never_fits = size_by_memory > max_size;
  if (choice.never_fits || size_by_memory > eligible.size())
    return choice;
  std::vector<const UpstreamRow*> rows;
  for (UpstreamId id :
       Sample(eligible, max_size + options_.long_sample_size, context.random)) {
    const UpstreamRow* row = context.upstreams.Find(id);
    if (!context.request.crash_suspect || row->crash_suspects == 0)
      rows.push_back(row);
  }
  std::sort(rows.begin(), rows.end(),
            [&](const UpstreamRow* a, const UpstreamRow* b) {
              return a->FreeMemory(level) > b->FreeMemory(level);
            });
  const size_t largest_size = std::min(max_size, rows.size());
  size_t size = size_by_memory;
  // Look for the smallest group whose members have enough free memory.
  while (size <= largest_size) {
    const UpstreamRow* tightest = rows[size - 1];
    const auto headroom = static_cast<int64_t>(options_.short_prompt_reserve *
                                               tightest->report.memory_tokens);
    const int64_t part = need / static_cast<int64_t>(size) + 1;
    if (tightest->FreeMemory(level) - headroom >= part)
      break;
    ++size;
  }
  if (size > largest_size) {
    // No group has enough free memory. After some time the request reserves its
    // parts one by one and queues for each at the upstream, where later
    // requests cannot overtake it.
    const absl::Duration waited = context.now - spec.arrived;
    if (waited < options_.claim_after_share * spec.first_token_within ||
        size_by_memory > largest_size) {
      return choice;
    }
    size = std::min(largest_size, 2 * size_by_memory);
  }
  rows.resize(size);
  std::sort(rows.begin(), rows.end(),
            [](const UpstreamRow* a, const UpstreamRow* b) {
              return a->name < b->name;
            });
  double slowest_rate = options_.assumed_prefill_rate;
  int64_t ahead = 0;
  for (const UpstreamRow* row : rows) {
    choice.upstreams.push_back(row->id);
    ahead = std::max(ahead, row->PrefillAhead(level));
    if (row->report.prefill_tokens_per_second > 0) {
      slowest_rate =
          std::min(slowest_rate, row->report.prefill_tokens_per_second);
    }
  }
  choice.time_to_first_token = absl::Seconds(
      (ahead + spec.prompt_tokens / static_cast<double>(size)) / slowest_rate);
  return choice;
}

}  // namespace chicory
