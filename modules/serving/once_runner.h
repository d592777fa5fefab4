#ifndef MODULES_SERVING_ONCE_RUNNER_H_
#define MODULES_SERVING_ONCE_RUNNER_H_

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/core/time_line.h"
#include "modules/decisions/once_call.h"
#include "modules/store/object_store.h"

namespace chicory {

/** The shell around OnceCall: does its reads and writes on the object API.
    Records that could not be settled while the API was down are settled later
    by a thread. Thread-safe. */
class OnceRunner {
 public:
  struct Options {
    /** How long a record is kept after its call. */
    absl::Duration retention = absl::Hours(24);
    /** Longest answer that a record keeps, in bytes. */
    size_t max_answer_bytes = 64 << 10;
  };

  /** What a caller asks. */
  struct Request {
    /** Account, route and idempotency key together. */
    std::string key;
    std::string body_hash;
    std::string attempt;
    absl::Time deadline;
  };

  /** What the caller is told. */
  struct Outcome {
    OnceReply reply = OnceReply::kNotRun;
    /** The answer, for kAnswer and kReplay. */
    OnceRecord answer;
  };

  /** Sends the call and fills in status, type and body of the answer. */
  using SendFunction = std::function<OnceSent(OnceRecord* answer)>;

  /** `store` and `time_line` must outlive this object. */
  OnceRunner(const Options& options, ObjectStore* store, TimeLine* time_line);
  ~OnceRunner();

  void Start();
  /** Stops the thread, after one more try at what is left to settle. */
  void Stop();

  /** Runs one call on the calling thread. */
  Outcome Run(const Request& request, const SendFunction& send);

  /** Records left to settle. */
  size_t unsettled() const;

 private:
  struct Unsettled {
    std::string object;
    OnceRecord record;
  };

  /** The stored form of a record; an answer that is too large is left out. */
  std::string TextToKeep(const OnceRecord& record) const;
  /** True when there is nothing left to do for `entry`. */
  bool TrySettle(const Unsettled& entry);
  void SettleLater();

  const Options options_;
  ObjectStore* const store_;
  TimeLine* const time_line_;
  mutable absl::Mutex mutex_;
  std::deque<Unsettled> unsettled_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_ONCE_RUNNER_H_
