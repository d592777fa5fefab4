#ifndef STAND_INS_ENGINE_RUNTIME_H_
#define STAND_INS_ENGINE_RUNTIME_H_

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "stand_ins/engine_model.h"

namespace chicory {

/** Faults that tests and scripts inject into an engine. */
struct EngineFaults {
  /** New work is refused as not run. */
  bool refuse = false;
  /** No step runs; connections stay open. */
  bool freeze = false;
  /** Factor by which every step takes longer. */
  double slow = 1;
};

/** Runs the steps of an EngineModel in real time on its own thread and delivers
    the events to the threads that serve streams. Thread-safe. */
class EngineRuntime {
 public:
  struct Options {
    EngineModel::Options model;
    /** Factor by which steps run faster than the model prescribes. */
    double speed = 1;
    /** Minimum time between two refreshes of the published load. */
    absl::Duration load_publish_period = absl::Milliseconds(300);
  };

  /** The events of one attempt that have not been taken yet. */
  struct Channel {
    std::deque<EngineEvent> events;
    absl::CondVar events_available;
    /** True if the process exits at the first event of this attempt. */
    bool crashes = false;
  };

  explicit EngineRuntime(const Options& options);
  ~EngineRuntime();

  /** Submits a job and returns its events, or null if the job is refused. With
      `crashes` set, the process exits at the first event of the job. */
  std::shared_ptr<Channel> Submit(const EngineJob& job, bool crashes);

  /** Takes the events of `channel`, waiting up to `wait` for the first one.
      Returns an empty list on time-out. */
  std::vector<EngineEvent> Take(Channel* channel, absl::Duration wait);

  /** @see EngineModel::Cancel */
  bool Cancel(const std::string& attempt);
  /** @see EngineModel::StopGeneration */
  void StopGeneration(const std::string& attempt);
  void SetFaults(const EngineFaults& faults);
  EngineFaults faults() const;

  /** Returns the load at this moment. */
  LoadReport CurrentLoad() const;
  /** Returns the load as last published and sets `age` to its age. */
  LoadReport PublishedLoad(absl::Duration* age) const;

  std::vector<std::string> Attempts() const;
  std::vector<CacheEvent> CacheEventsAfter(uint64_t sequence) const;

 private:
  void RunSteps();

  const Options options_;
  mutable absl::Mutex mutex_;
  absl::CondVar work_available_;
  EngineModel model_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<std::string, std::shared_ptr<Channel>> channels_
      ABSL_GUARDED_BY(mutex_);
  EngineFaults faults_ ABSL_GUARDED_BY(mutex_);
  LoadReport published_load_ ABSL_GUARDED_BY(mutex_);
  absl::Time load_published_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // STAND_INS_ENGINE_RUNTIME_H_
