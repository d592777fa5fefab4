#include "stand_ins/engine_runtime.h"

#include <unistd.h>

#include "absl/time/clock.h"

namespace chicory {

namespace {

constexpr int kInjectedCrashExitCode = 66;
constexpr absl::Duration kIdleWait = absl::Milliseconds(20);

}  // namespace

EngineRuntime::EngineRuntime(const Options& options)
    : options_(options), model_(options.model) {
  thread_ = std::thread([this] { RunSteps(); });
}

EngineRuntime::~EngineRuntime() {
  is_stopping_ = true;
  thread_.join();
}

std::shared_ptr<EngineRuntime::Channel> EngineRuntime::Submit(
    const EngineJob& job,
    bool crashes) {
  absl::MutexLock lock(&mutex_);
  if (!model_.Submit(job))
    return nullptr;
  auto channel = std::make_shared<Channel>();
  channel->crashes = crashes;
  channels_[job.attempt] = channel;
  work_available_.Signal();
  return channel;
}

std::vector<EngineEvent> EngineRuntime::Take(Channel* channel,
                                             absl::Duration wait) {
  absl::MutexLock lock(&mutex_);
  if (channel->events.empty())
    channel->events_available.WaitWithTimeout(&mutex_, wait);
  std::vector<EngineEvent> events(channel->events.begin(),
                                  channel->events.end());
  channel->events.clear();
  return events;
}

bool EngineRuntime::Cancel(const std::string& attempt) {
  absl::MutexLock lock(&mutex_);
  channels_.erase(attempt);
  return model_.Cancel(attempt);
}

void EngineRuntime::StopGeneration(const std::string& attempt) {
  absl::MutexLock lock(&mutex_);
  model_.StopGeneration(attempt);
}

void EngineRuntime::SetFaults(const EngineFaults& faults) {
  absl::MutexLock lock(&mutex_);
  faults_ = faults;
}

EngineFaults EngineRuntime::faults() const {
  absl::MutexLock lock(&mutex_);
  return faults_;
}

LoadReport EngineRuntime::CurrentLoad() const {
  absl::MutexLock lock(&mutex_);
  return model_.Load();
}

LoadReport EngineRuntime::PublishedLoad(absl::Duration* age) const {
  absl::MutexLock lock(&mutex_);
  *age = absl::Now() - load_published_at_;
  return published_load_;
}

std::vector<std::string> EngineRuntime::Attempts() const {
  absl::MutexLock lock(&mutex_);
  return model_.Attempts();
}

std::vector<CacheEvent> EngineRuntime::CacheEventsAfter(
    uint64_t sequence) const {
  absl::MutexLock lock(&mutex_);
  return model_.CacheEventsAfter(sequence);
}

void EngineRuntime::RunSteps() {
  absl::Time next_step = absl::Now();
  while (!is_stopping_) {
    std::vector<EngineEvent> events;
    absl::Duration step_duration;
    {
      absl::MutexLock lock(&mutex_);
      if (absl::Now() - load_published_at_ >= options_.load_publish_period) {
        published_load_ = model_.Load();
        load_published_at_ = absl::Now();
      }
      if (!faults_.freeze)
        step_duration = model_.Step(&events) * faults_.slow / options_.speed;
      if (step_duration <= absl::ZeroDuration() && events.empty()) {
        work_available_.WaitWithTimeout(&mutex_, kIdleWait);
        next_step = absl::Now();
        continue;
      }
    }
    // Schedules each step relative to the scheduled end of the previous one, so
    // that inaccurate sleeps do not add up.
    next_step =
        std::max(next_step, absl::Now() - step_duration) + step_duration;
    absl::SleepFor(next_step - absl::Now());
    absl::MutexLock lock(&mutex_);
    for (EngineEvent& event : events) {
      auto channel = channels_.find(event.attempt);
      if (channel == channels_.end())
        continue;
      if (channel->second->crashes)
        ::_exit(kInjectedCrashExitCode);
      channel->second->events.push_back(event);
      channel->second->events_available.Signal();
      if (event.kind == EngineEventKind::kFinished)
        channels_.erase(channel);
    }
  }
}

}  // namespace chicory
