#include "modules/decisions/length_aware_placement.h"

#include <algorithm>
#include <cmath>

#include "absl/random/distributions.h"
#include "absl/time/time.h"

namespace chicory {

namespace {

/** Picks up to `count` different upstreams by chance. */
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

absl::Duration LengthAwarePlacement::RiskOf(const UpstreamRow& row,
                                            int level,
                                            int64_t need) const {
  int64_t waiting_below = 0;
  int64_t prefill_below = 0;
  for (int i = level + 1; i < kPriorityLevels; ++i) {
    waiting_below += row.report.waiting_memory_tokens[i];
    prefill_below += row.report.queued_prefill_tokens[i];
  }
  const auto margin =
      static_cast<int64_t>(options_.tight_margin * row.report.memory_tokens);
  absl::Duration risk = absl::ZeroDuration();
  if (waiting_below > 0 || row.FreeMemory(level) - need < margin)
    risk += options_.tight_risk;
  if (prefill_below > 0)
    risk += options_.step_risk;
  return risk;
}

bool LengthAwarePlacement::Evaluate(const PlacementContext& question,
                                    const UpstreamRow& row,
                                    Candidate* candidate) const {
  const RequestRow& request = question.request;
  const int level = PriorityLevelOf(request.spec);
  const bool is_long = request.spec.prompt_tokens > kLongPromptTokens;
  const int64_t need = MemoryNeedOf(request.spec);
  if (request.suspect && row.suspects > 0)
    return false;
  const bool has_report = row.report.memory_tokens > 0;
  const int64_t headroom = is_long
                               ? static_cast<int64_t>(options_.short_headroom *
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
      question.prefixes.Matched(row.id, request.spec.prefix_blocks);
  const int64_t cached =
      std::min<int64_t>(blocks * kPrefixBlockTokens,
                        std::max<int64_t>(0, request.spec.prompt_tokens - 1));
  const double rate = row.report.prefill_tokens_per_second > 0
                          ? row.report.prefill_tokens_per_second
                          : options_.assumed_prefill_rate;
  const int64_t to_prefill = request.spec.prompt_tokens - cached;
  // What would wait longer there than its class allows waits here instead,
  // where it can still be refused as not run.
  const absl::Duration queued = absl::Seconds(ahead / rate);
  if (queued > options_.queue_share * request.spec.first_token_within)
    return false;
  candidate->row = &row;
  candidate->cached_tokens = cached;
  candidate->first_token_in = absl::Seconds((ahead + to_prefill) / rate);
  if (has_report && !is_long)
    candidate->first_token_in += RiskOf(row, level, need);
  return true;
}

PlacementChoice LengthAwarePlacement::Choose(const PlacementContext& question) {
  const RequestSpec& spec = question.request.spec;
  const std::vector<UpstreamId>& eligible =
      question.upstreams.Eligible(spec.pool, spec.model);
  PlacementChoice choice;
  if (eligible.empty())
    return choice;
  const bool is_long = spec.prompt_tokens > kLongPromptTokens;
  const int choices = is_long ? options_.long_choices : options_.choices;
  std::vector<UpstreamId> sample = Sample(eligible, choices, question.random);

  int64_t largest_memory = 0;
  for (UpstreamId id : sample) {
    largest_memory = std::max(
        largest_memory, question.upstreams.Find(id)->report.memory_tokens);
  }
  const int64_t usable_memory = static_cast<int64_t>(
      largest_memory * (is_long ? 1 - options_.short_headroom : 1));
  if (largest_memory > 0 && MemoryNeedOf(spec) > usable_memory)
    return ChooseGroup(question, eligible, usable_memory, 1);

  const PrefixIndex::Match match =
      question.prefixes.Longest(spec.prefix_blocks);
  if (match.blocks > 0)
    sample.push_back(match.upstream);
  Candidate best;
  for (UpstreamId id : sample) {
    const UpstreamRow* row = question.upstreams.Find(id);
    if (row == nullptr || row->state != UpstreamState::kLive)
      continue;
    Candidate candidate;
    if (!Evaluate(question, *row, &candidate))
      continue;
    if (candidate.first_token_in < best.first_token_in)
      best = candidate;
  }
  if (best.row == nullptr) {
    const bool is_large =
        MemoryNeedOf(spec) >
        options_.split_above * static_cast<double>(usable_memory);
    return is_long && is_large && largest_memory > 0
               ? ChooseGroup(question, eligible, usable_memory, 2)
               : choice;
  }
  choice.upstreams = {best.row->id};
  choice.first_token_in = best.first_token_in;
  choice.cached_tokens = best.cached_tokens;
  return choice;
}

PlacementChoice LengthAwarePlacement::ChooseGroup(
    const PlacementContext& question,
    const std::vector<UpstreamId>& eligible,
    int64_t memory_per_upstream,
    size_t least_size) const {
  PlacementChoice choice;
  const RequestSpec& spec = question.request.spec;
  const int level = PriorityLevelOf(spec);
  const int64_t need = MemoryNeedOf(spec);
  const auto most_size = static_cast<size_t>(options_.max_group);
  const size_t size_by_memory = std::max<size_t>(
      least_size, (need + memory_per_upstream - 1) / memory_per_upstream);
  choice.never_fits = size_by_memory > most_size;
  if (choice.never_fits || size_by_memory > eligible.size())
    return choice;
  std::vector<const UpstreamRow*> rows;
  for (UpstreamId id :
       Sample(eligible, most_size + options_.long_choices, question.random)) {
    const UpstreamRow* row = question.upstreams.Find(id);
    if (!question.request.suspect || row->suspects == 0)
      rows.push_back(row);
  }
  std::sort(rows.begin(), rows.end(),
            [&](const UpstreamRow* a, const UpstreamRow* b) {
              return a->FreeMemory(level) > b->FreeMemory(level);
            });
  const size_t largest_size = std::min(most_size, rows.size());
  size_t size = size_by_memory;
  // The smallest group whose parts fit into what is free now.
  while (size <= largest_size) {
    const UpstreamRow* tightest = rows[size - 1];
    const auto headroom = static_cast<int64_t>(options_.short_headroom *
                                               tightest->report.memory_tokens);
    const int64_t part = need / static_cast<int64_t>(size) + 1;
    if (tightest->FreeMemory(level) - headroom >= part)
      break;
    ++size;
  }
  if (size > largest_size) {
    // Nothing fits. After a while the request claims its parts one by one and
    // waits for each at its upstream, where later work cannot overtake it.
    const absl::Duration waited = question.now - spec.arrived;
    if (waited < options_.claim_after * spec.first_token_within ||
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
  choice.first_token_in = absl::Seconds(
      (ahead + spec.prompt_tokens / static_cast<double>(size)) / slowest_rate);
  return choice;
}

}  // namespace chicory
