#include "modules/decisions/request_queue.h"

#include <algorithm>
#include <cassert>

namespace chicory {

namespace {

/** Length of a measurement window of the drain rate. */
constexpr absl::Duration kDrainWindow = absl::Seconds(3);

/** Weight of the latest window in the moving average of the drain rate. */
constexpr double kDrainSmoothing = 0.5;

/** Minimum number of queued requests for a meaningful estimate of the wait. */
constexpr size_t kMinBacklog = 8;

/** Number of account tags of a level above which obsolete ones are erased. */
constexpr size_t kMaxAccountTags = 8192;

double CostOf(const RequestSpec& spec) {
  return static_cast<double>(MemoryNeedOf(spec) + 1);
}

}  // namespace

void RequestQueue::Push(RequestRow* row) {
  assert(row->spec.weight > 0);
  const int index = PriorityLevelOf(row->spec);
  LevelState& state = states_[index];
  if (state.account_tags.size() > kMaxAccountTags) {
    absl::erase_if(state.account_tags, [&](const auto& entry) {
      return entry.second <= state.virtual_time;
    });
  }
  double& last_tag = state.account_tags[row->spec.account];
  const double start = std::max(state.virtual_time, last_tag);
  last_tag = start + CostOf(row->spec) / row->spec.weight;
  row->queue_tag = start;
  row->queue_level = index;
  levels_[index].insert({row->queue_tag, row->spec.id});
  state.tokens += row->spec.prompt_tokens;
  ++size_;
}

bool RequestQueue::Remove(const RequestRow& row) {
  if (levels_[row.queue_level].erase({row.queue_tag, row.spec.id}) == 0)
    return false;
  states_[row.queue_level].tokens -= row.spec.prompt_tokens;
  --size_;
  return true;
}

void RequestQueue::OnPlaced(const RequestRow& row) {
  LevelState& state = states_[row.queue_level];
  state.virtual_time = std::max(state.virtual_time, row.queue_tag);
  drained_in_window_ += static_cast<double>(row.spec.prompt_tokens);
}

void RequestQueue::OnRoundEnded(absl::Time now) {
  if (size_ == 0 || window_start_ == absl::InfinitePast()) {
    window_start_ = size_ == 0 ? absl::InfinitePast() : now;
    drained_in_window_ = 0;
    if (size_ == 0)
      drain_rate_ = 0;
    return;
  }
  const absl::Duration span = now - window_start_;
  if (span < kDrainWindow)
    return;
  const double rate = drained_in_window_ / absl::ToDoubleSeconds(span);
  drain_rate_ = drain_rate_ == 0
                    ? rate
                    : drain_rate_ + kDrainSmoothing * (rate - drain_rate_);
  drained_in_window_ = 0;
  window_start_ = now;
}

int64_t RequestQueue::TokensAhead(int level) const {
  int64_t tokens = 0;
  for (int i = 0; i <= level; ++i)
    tokens += states_[i].tokens;
  return tokens;
}

absl::Duration RequestQueue::EstimatedWait(int level) const {
  if (drain_rate_ <= 0 || size_ < kMinBacklog)
    return absl::ZeroDuration();
  return absl::Seconds(static_cast<double>(TokensAhead(level)) / drain_rate_);
}

}  // namespace chicory
