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

/** Faults of an engine that tests and scripts switch on. */
struct EngineFaults {
  /** New streams are refused as not run. */
  bool refuse = false;
  /** Nothing moves. */
  bool freeze = false;
  /** Every step takes this many times as long. */
  double slow = 1;
};

/** Steps an EngineModel in real time and hands its events to the threads that
    serve streams. Thread-safe. */
class EngineRuntime {
 public:
  struct Options {
    EngineModel::Options model;
    /** Steps run this many times faster than the model says. */
    double speed = 1;
    /** Age of the load that is published. */
    absl::Duration load_lag = absl::Milliseconds(300);
  };

  /** The events of one attempt, as they come. */
  struct Channel {
    std::deque<EngineEvent> events;
    absl::CondVar changed;
    /** The engine dies when it runs this. */
    bool crashes = false;
  };

  explicit EngineRuntime(const Options& options);
  ~EngineRuntime();

  /** Takes a job; null when it is refused. */
  std::shared_ptr<Channel> Submit(const EngineJob& job, bool crashes);

  /** Waits up to `wait` for events of `channel`; none on time-out. */
  std::vector<EngineEvent> Take(Channel* channel, absl::Duration wait);

  bool Cancel(const std::string& attempt);
  void StopGeneration(const std::string& attempt);
  void SetFaults(const EngineFaults& faults);
  EngineFaults faults() const;

  /** The load right now, and the one that is published with its age. */
  LoadReport FreshLoad() const;
  LoadReport PublishedLoad(absl::Duration* age) const;

  std::vector<std::string> Attempts() const;
  std::vector<CacheEvent> CacheEventsAfter(uint64_t sequence) const;

 private:
  void Run();

  const Options options_;
  mutable absl::Mutex mutex_;
  absl::CondVar has_work_;
  EngineModel model_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<std::string, std::shared_ptr<Channel>> channels_
      ABSL_GUARDED_BY(mutex_);
  EngineFaults faults_ ABSL_GUARDED_BY(mutex_);
  LoadReport published_ ABSL_GUARDED_BY(mutex_);
  absl::Time published_at_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // STAND_INS_ENGINE_RUNTIME_H_
