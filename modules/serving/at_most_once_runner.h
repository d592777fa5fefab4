#ifndef MODULES_SERVING_AT_MOST_ONCE_RUNNER_H_
#define MODULES_SERVING_AT_MOST_ONCE_RUNNER_H_

#include <atomic>
#include <deque>
#include <functional>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/core/timeline.h"
#include "modules/decisions/at_most_once_call.h"
#include "modules/store/object_store.h"

namespace chicory {

/** The shell around AtMostOnceCall: does its reads and writes on the object
   API. Records that could not be settled while the API was down are settled
   later by a thread. Thread-safe. */
class AtMostOnceRunner {
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
    AtMostOnceReply reply = AtMostOnceReply::kNotRun;
    /** The answer, for kServiceResponse and kReplay. */
    IdempotencyRecord result;
  };

  /** Sends the call and fills in status, type and body of the answer. */
  using SendFunction = std::function<AtMostOnceSent(IdempotencyRecord* result)>;

  /** `store` and `time_line` must outlive this object. */
  AtMostOnceRunner(const Options& options,
                   ObjectStore* store,
                   Timeline* time_line);
  ~AtMostOnceRunner();

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
    IdempotencyRecord record;
  };

  /** The stored form of a record; an answer that is too large is left out. */
  std::string TextToKeep(const IdempotencyRecord& record) const;
  /** True when there is nothing left to do for `entry`. */
  bool TrySettle(const Unsettled& entry);
  void SettleLater();

  const Options options_;
  ObjectStore* const store_;
  Timeline* const time_line_;
  mutable absl::Mutex mutex_;
  std::deque<Unsettled> unsettled_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_AT_MOST_ONCE_RUNNER_H_
