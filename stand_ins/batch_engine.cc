#include "stand_ins/batch_engine.h"

#include <algorithm>

namespace chicory {

void BatchEngine::Add(WorkKey key,
                      Role role,
                      absl::Duration prefill,
                      int64_t tokens,
                      int events) {
  jobs_.push_back({.key = key,
                   .role = role,
                   .prefill = prefill,
                   .tokens = tokens,
                   .events_left = events});
}

void BatchEngine::Remove(WorkKey key) {
  std::erase_if(jobs_, [key](const Job& job) { return job.key == key; });
}

void BatchEngine::SetReady(WorkKey key) {
  for (Job& job : jobs_) {
    if (job.key == key && job.role != Role::kPart)
      job.is_ready = true;
  }
}

absl::Duration BatchEngine::BeginPass() {
  if (is_in_pass_)
    return absl::ZeroDuration();
  int streams = 0;
  int64_t context = 0;
  for (const Job& job : jobs_) {
    if (!job.is_ready)
      continue;
    ++streams;
    context += job.tokens;
  }
  absl::Duration duration = absl::ZeroDuration();
  if (streams > 0) {
    for (Job& job : jobs_) {
      job.is_in_pass = true;
      if (!job.is_prefilled)
        duration += job.prefill;
    }
    duration += PassTime(profile_, streams, context);
  } else {
    Job* next = nullptr;
    for (Job& job : jobs_) {
      if (job.is_prefilled)
        continue;
      // The newest part for another engine, otherwise the oldest prompt.
      if (!next || job.role == Role::kPart)
        next = &job;
    }
    if (next) {
      const absl::Duration chunk = absl::Milliseconds(
          static_cast<double>(std::max<int64_t>(profile_.chunk_tokens, 1)) /
          profile_.prefill_tokens_per_ms);
      duration = std::min(next->prefill, chunk);
      next->is_in_pass = true;
      next->prefill -= duration;
    }
  }
  is_in_pass_ = duration > absl::ZeroDuration();
  return duration;
}

BatchEngine::PassResult BatchEngine::EndPass() {
  is_in_pass_ = false;
  PassResult result;
  const bool decodes =
      std::any_of(jobs_.begin(), jobs_.end(),
                  [](const Job& j) { return j.is_in_pass && j.is_ready; });
  for (Job& job : jobs_) {
    if (!job.is_in_pass)
      continue;
    job.is_in_pass = false;
    if (job.is_ready) {
      result.events.push_back(job.key);
      if (--job.events_left <= 0)
        result.finished.push_back(job.key);
    } else if (!job.is_prefilled &&
               (decodes || job.prefill <= absl::ZeroDuration())) {
      job.is_prefilled = true;
      result.prefilled.push_back(job.key);
      job.is_ready = job.role == Role::kAlone;
      if (job.is_ready && decodes) {
        result.events.push_back(job.key);
        --job.events_left;
      }
    }
  }
  for (WorkKey key : result.finished)
    Remove(key);
  return result;
}

}  // namespace chicory
