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

bool LengthAwarePlacement::Evaluate(const PlacementQuestion& question,
                                    const UpstreamRow& row,
                                    Candidate* candidate) const {
  const RequestRow& request = question.request;
  const int level = PriorityLevelOf(request.spec);
  const bool is_long = request.spec.length_class > 0;
  const int64_t need = MemoryNeedOf(request.spec);
  if (request.suspect && row.suspects > 0)
    return false;
  const bool has_report = row.report.memory_tokens > 0;
  const int64_t headroom = is_long
                               ? static_cast<int64_t>(options_.short_headroom *
                                                      row.report.memory_tokens)
                               : 0;
  if (has_report && row.FreeMemory() < need + headroom)
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
  candidate->row = &row;
  candidate->cached_tokens = cached;
  candidate->first_token_in = absl::Seconds((ahead + to_prefill) / rate);
  return true;
}

PlacementChoice LengthAwarePlacement::Choose(
    const PlacementQuestion& question) {
  const RequestSpec& spec = question.request.spec;
  const std::vector<UpstreamId>& eligible =
      question.upstreams.Eligible(spec.pool, spec.model);
  PlacementChoice choice;
  if (eligible.empty())
    return choice;
  const bool is_long = spec.length_class > 0;
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
    return ChooseGroup(question, eligible, usable_memory);

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
  if (best.row == nullptr)
    return choice;
  choice.upstreams = {best.row->id};
  choice.first_token_in = best.first_token_in;
  choice.cached_tokens = best.cached_tokens;
  return choice;
}

PlacementChoice LengthAwarePlacement::ChooseGroup(
    const PlacementQuestion& question,
    const std::vector<UpstreamId>& eligible,
    int64_t memory_per_upstream) const {
  PlacementChoice choice;
  const RequestSpec& spec = question.request.spec;
  const size_t size =
      static_cast<size_t>(std::ceil(static_cast<double>(MemoryNeedOf(spec)) /
                                    std::max<int64_t>(1, memory_per_upstream)));
  if (size > static_cast<size_t>(options_.max_group) ||
      size > eligible.size()) {
    choice.impossible = size > static_cast<size_t>(options_.max_group);
    return choice;
  }
  std::vector<const UpstreamRow*> rows;
  for (UpstreamId id :
       Sample(eligible, size + options_.long_choices, question.random)) {
    const UpstreamRow* row = question.upstreams.Find(id);
    if (row->long_prefills == 0)
      rows.push_back(row);
  }
  if (rows.size() < size)
    return choice;
  std::partial_sort(rows.begin(), rows.begin() + size, rows.end(),
                    [](const UpstreamRow* a, const UpstreamRow* b) {
                      return a->FreeMemory() > b->FreeMemory();
                    });
  rows.resize(size);
  std::sort(rows.begin(), rows.end(),
            [](const UpstreamRow* a, const UpstreamRow* b) {
              return a->name < b->name;
            });
  double slowest_rate = options_.assumed_prefill_rate;
  int64_t ahead = 0;
  for (const UpstreamRow* row : rows) {
    choice.upstreams.push_back(row->id);
    ahead = std::max(ahead, row->PrefillAhead(PriorityLevelOf(spec)));
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
