#include "stand_ins/engine_model.h"

#include <algorithm>

namespace chicory {

bool EngineModel::Submit(const EngineJob& job) {
  if (tombstones_.contains(job.attempt) || keys_.contains(job.attempt))
    return false;
  Job added{.spec = job, .memory = job.prompt_tokens + job.max_tokens};
  if (added.memory > options_.memory_tokens)
    return false;
  added.next_index = job.resume_from;
  const Key key{job.level, next_++};
  waiting_.emplace(key, std::move(added));
  keys_[job.attempt] = key;
  return true;
}

void EngineModel::Erase(const std::string& attempt) {
  auto found = keys_.find(attempt);
  const Key key = found->second;
  keys_.erase(found);
  if (waiting_.erase(key) != 0)
    return;
  auto running = running_.find(key);
  used_ -= running->second.memory;
  running_.erase(running);
}

bool EngineModel::Cancel(const std::string& attempt) {
  if (keys_.contains(attempt)) {
    Erase(attempt);
    return true;
  }
  if (tombstones_.insert(attempt).second) {
    tombstone_order_.push_back(attempt);
    if (tombstone_order_.size() > kMaxTombstones) {
      tombstones_.erase(tombstone_order_.front());
      tombstone_order_.pop_front();
    }
  }
  return false;
}

void EngineModel::StopGeneration(const std::string& attempt) {
  auto found = keys_.find(attempt);
  if (found == keys_.end())
    return;
  auto waiting = waiting_.find(found->second);
  if (waiting != waiting_.end()) {
    waiting->second.spec.is_reservation = true;
    return;
  }
  running_.at(found->second).spec.is_reservation = true;
}

int64_t EngineModel::CachedTokens(const EngineJob& job) const {
  int64_t cached = 0;
  for (uint64_t block : job.prefix_blocks) {
    if (!cache_.contains(block))
      break;
    cached += kPrefixBlockTokens;
  }
  return std::min(cached, std::max<int64_t>(0, job.prompt_tokens - 1));
}

void EngineModel::AddCacheEvent(uint64_t block, bool stored) {
  cache_events_.push_back({++cache_sequence_, block, stored});
  if (cache_events_.size() > kMaxCacheEvents)
    cache_events_.pop_front();
}

void EngineModel::RememberPrefix(const EngineJob& job) {
  for (uint64_t block : job.prefix_blocks) {
    if (!cache_.insert(block).second)
      continue;
    cache_order_.push_back(block);
    AddCacheEvent(block, true);
    if (cache_order_.size() <= options_.cache_blocks)
      continue;
    cache_.erase(cache_order_.front());
    AddCacheEvent(cache_order_.front(), false);
    cache_order_.pop_front();
  }
}

void EngineModel::Admit(std::vector<EngineEvent>* events) {
  while (!waiting_.empty() && running_.size() < options_.max_running) {
    auto first = waiting_.begin();
    Job& job = first->second;
    if (used_ + job.memory > options_.memory_tokens)
      return;
    used_ += job.memory;
    job.prefill_left =
        job.spec.prompt_tokens + job.spec.resume_from - CachedTokens(job.spec);
    if (job.spec.is_reservation)
      events->push_back({job.spec.attempt, EngineEventKind::kGranted, 0});
    running_.emplace(first->first, std::move(job));
    waiting_.erase(first);
  }
}

absl::Duration EngineModel::Step(std::vector<EngineEvent>* events) {
  Admit(events);
  if (running_.empty())
    return absl::ZeroDuration();
  int64_t budget = options_.chunk_tokens;
  int64_t prefilled = 0;
  int streams = 0;
  std::vector<std::string> finished;
  for (auto& [key, job] : running_) {
    if (!job.is_prefilled) {
      const int64_t part = std::min(budget, job.prefill_left);
      budget -= part;
      prefilled += part;
      job.prefill_left -= part;
      if (job.prefill_left > 0 || (part == 0 && budget == 0))
        continue;
      job.is_prefilled = true;
      RememberPrefix(job.spec);
      if (job.spec.is_reservation) {
        events->push_back({job.spec.attempt, EngineEventKind::kPrefilled, 0});
        continue;
      }
    }
    if (job.spec.is_reservation)
      continue;
    ++streams;
    if (job.next_index < job.spec.answer_tokens) {
      events->push_back(
          {job.spec.attempt, EngineEventKind::kToken, job.next_index});
      ++job.next_index;
    }
    if (job.next_index >= job.spec.answer_tokens)
      finished.push_back(job.spec.attempt);
  }
  for (const std::string& attempt : finished) {
    events->push_back({attempt, EngineEventKind::kFinished, 0});
    Erase(attempt);
  }
  if (prefilled == 0 && streams == 0)
    return absl::ZeroDuration();
  const absl::Duration length = options_.step_base +
                                options_.per_prefill_token * prefilled +
                                options_.per_stream * streams;
  busy_ += length;
  return length;
}

LoadReport EngineModel::Load() const {
  LoadReport report;
  report.incarnation = options_.incarnation;
  report.memory_tokens = options_.memory_tokens;
  report.free_memory_tokens = options_.memory_tokens - used_;
  // A full chunk with a typical batch; decode shares the step.
  const double step_seconds = absl::ToDoubleSeconds(
      options_.step_base + options_.per_prefill_token * options_.chunk_tokens +
      options_.per_stream * running_.size());
  report.prefill_tokens_per_second = options_.chunk_tokens / step_seconds;
  for (const auto& [key, job] : waiting_) {
    report.queued_prefill_tokens[key.first] +=
        job.spec.prompt_tokens + job.spec.resume_from;
    report.waiting_memory_tokens[key.first] += job.memory;
  }
  for (const auto& [key, job] : running_)
    report.queued_prefill_tokens[key.first] += job.prefill_left;
  return report;
}

std::vector<std::string> EngineModel::Attempts() const {
  std::vector<std::string> attempts;
  for (const auto& [attempt, key] : keys_)
    attempts.push_back(attempt);
  std::sort(attempts.begin(), attempts.end());
  return attempts;
}

std::vector<CacheEvent> EngineModel::CacheEventsAfter(uint64_t sequence) const {
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : cache_events_) {
    if (event.sequence > sequence)
      events.push_back(event);
  }
  return events;
}

}  // namespace chicory
