#include "stand_ins/engine_model.h"

#include <algorithm>

namespace chicory {

bool EngineModel::Submit(const EngineJob& job) {
  if (cancelled_attempts_.contains(job.attempt) ||
      job_keys_.contains(job.attempt))
    return false;
  Job new_job{.spec = job,
              .reserved_tokens = job.prompt_tokens + job.max_tokens};
  if (new_job.reserved_tokens > options_.memory_tokens)
    return false;
  new_job.next_index = job.resume_from;
  const Key key{job.level, next_arrival_++};
  waiting_.emplace(key, std::move(new_job));
  job_keys_[job.attempt] = key;
  return true;
}

void EngineModel::Erase(const std::string& attempt) {
  auto found = job_keys_.find(attempt);
  const Key key = found->second;
  job_keys_.erase(found);
  if (waiting_.erase(key) != 0)
    return;
  auto running = running_.find(key);
  used_memory_tokens_ -= running->second.reserved_tokens;
  running_.erase(running);
}

bool EngineModel::Cancel(const std::string& attempt) {
  if (job_keys_.contains(attempt)) {
    Erase(attempt);
    return true;
  }
  if (cancelled_attempts_.insert(attempt).second) {
    cancelled_attempt_order_.push_back(attempt);
    if (cancelled_attempt_order_.size() > kMaxCancelledAttempts) {
      cancelled_attempts_.erase(cancelled_attempt_order_.front());
      cancelled_attempt_order_.pop_front();
    }
  }
  return false;
}

void EngineModel::StopGeneration(const std::string& attempt) {
  auto found = job_keys_.find(attempt);
  if (found == job_keys_.end())
    return;
  auto waiting = waiting_.find(found->second);
  if (waiting != waiting_.end()) {
    waiting->second.spec.is_reservation = true;
    return;
  }
  running_.at(found->second).spec.is_reservation = true;
}

int64_t EngineModel::CachedPrefixTokens(const EngineJob& job) const {
  int64_t cached = 0;
  for (uint64_t block : job.prefix_blocks) {
    if (!cached_blocks_.contains(block))
      break;
    cached += kPrefixBlockTokens;
  }
  return std::min(cached, std::max<int64_t>(0, job.prompt_tokens - 1));
}

void EngineModel::AddCacheEvent(uint64_t block, bool stored) {
  cache_events_.push_back({++last_cache_sequence_, block, stored});
  if (cache_events_.size() > kMaxCacheEvents)
    cache_events_.pop_front();
}

void EngineModel::AddPrefixToCache(const EngineJob& job) {
  for (uint64_t block : job.prefix_blocks) {
    if (!cached_blocks_.insert(block).second)
      continue;
    cached_block_order_.push_back(block);
    AddCacheEvent(block, true);
    if (cached_block_order_.size() <= options_.cache_blocks)
      continue;
    cached_blocks_.erase(cached_block_order_.front());
    AddCacheEvent(cached_block_order_.front(), false);
    cached_block_order_.pop_front();
  }
}

void EngineModel::AdmitWaitingJobs(std::vector<EngineEvent>* events) {
  while (!waiting_.empty() && running_.size() < options_.max_running) {
    auto first = waiting_.begin();
    Job& job = first->second;
    if (used_memory_tokens_ + job.reserved_tokens > options_.memory_tokens)
      return;
    used_memory_tokens_ += job.reserved_tokens;
    job.remaining_prefill_tokens = job.spec.prompt_tokens +
                                   job.spec.resume_from -
                                   CachedPrefixTokens(job.spec);
    if (job.spec.is_reservation)
      events->push_back({job.spec.attempt, EngineEventKind::kGranted, 0});
    running_.emplace(first->first, std::move(job));
    waiting_.erase(first);
  }
}

absl::Duration EngineModel::Step(std::vector<EngineEvent>* events) {
  AdmitWaitingJobs(events);
  if (running_.empty())
    return absl::ZeroDuration();
  int64_t prefill_budget = options_.chunk_tokens;
  int64_t prefilled_tokens = 0;
  int decoding_streams = 0;
  std::vector<std::string> finished;
  for (auto& [key, job] : running_) {
    if (!job.is_prefilled) {
      const int64_t chunk =
          std::min(prefill_budget, job.remaining_prefill_tokens);
      prefill_budget -= chunk;
      prefilled_tokens += chunk;
      job.remaining_prefill_tokens -= chunk;
      if (job.remaining_prefill_tokens > 0 ||
          (chunk == 0 && prefill_budget == 0))
        continue;
      job.is_prefilled = true;
      AddPrefixToCache(job.spec);
      if (job.spec.is_reservation) {
        events->push_back({job.spec.attempt, EngineEventKind::kPrefilled, 0});
        continue;
      }
    }
    if (job.spec.is_reservation)
      continue;
    ++decoding_streams;
    if (job.next_index < job.spec.response_tokens) {
      events->push_back(
          {job.spec.attempt, EngineEventKind::kToken, job.next_index});
      ++job.next_index;
    }
    if (job.next_index >= job.spec.response_tokens)
      finished.push_back(job.spec.attempt);
  }
  for (const std::string& attempt : finished) {
    events->push_back({attempt, EngineEventKind::kFinished, 0});
    Erase(attempt);
  }
  if (prefilled_tokens == 0 && decoding_streams == 0)
    return absl::ZeroDuration();
  const absl::Duration step_duration =
      options_.step_base + options_.per_prefill_token * prefilled_tokens +
      options_.per_stream * decoding_streams;
  busy_ += step_duration;
  return step_duration;
}

LoadReport EngineModel::Load() const {
  LoadReport report;
  report.incarnation = options_.incarnation;
  report.memory_tokens = options_.memory_tokens;
  report.free_memory_tokens = options_.memory_tokens - used_memory_tokens_;
  // Prefill rate of a step with a full prefill chunk, in which the running jobs
  // also decode.
  const double step_seconds = absl::ToDoubleSeconds(
      options_.step_base + options_.per_prefill_token * options_.chunk_tokens +
      options_.per_stream * running_.size());
  report.prefill_tokens_per_second = options_.chunk_tokens / step_seconds;
  for (const auto& [key, job] : waiting_) {
    report.queued_prefill_tokens[key.first] +=
        job.spec.prompt_tokens + job.spec.resume_from;
    report.waiting_memory_tokens[key.first] += job.reserved_tokens;
  }
  for (const auto& [key, job] : running_)
    report.queued_prefill_tokens[key.first] += job.remaining_prefill_tokens;
  return report;
}

std::vector<std::string> EngineModel::Attempts() const {
  std::vector<std::string> attempts;
  for (const auto& [attempt, key] : job_keys_)
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
