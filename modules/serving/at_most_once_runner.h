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

/** Runs calls to plain services at most once per idempotency key.

    Executes the steps that AtMostOnceCall decides: reads and writes the
    idempotency records through the object API and sends the call. Records whose
    final state could not be written, for instance while the object API was
    unavailable, are written later by a thread of this object. Thread-safe. */
class AtMostOnceRunner {
 public:
  struct Options {
    /** How long an idempotency record is valid, from the start of its call. */
    absl::Duration retention = absl::Hours(24);
    /** Longest response body that a record stores; a longer one is omitted. */
    size_t max_response_bytes = 64 << 10;
  };

  /** A call to be run at most once. */
  struct Request {
    /** Client account, route and idempotency key, combined. */
    std::string key;
    /** Hash that tells a repetition of the call from another call under the
        same key. */
    std::string body_hash;
    /** Id of the attempt, unique over all instances. */
    std::string attempt;
    absl::Time deadline;
  };

  /** The response to the caller. */
  struct Outcome {
    AtMostOnceReply reply = AtMostOnceReply::kNotRun;
    /** Holds the response for kServiceResponse and kReplay. */
    IdempotencyRecord result;
  };

  /** Sends the call to the service and returns what is known of its execution.
      For kResponseReceived, sets the status, content type and body of
      `result`. */
  using SendFunction =
      std::function<AtMostOnceCallResult(IdempotencyRecord* result)>;

  /** `store` and `timeline` must outlive this object. */
  AtMostOnceRunner(const Options& options,
                   ObjectStore* store,
                   Timeline* timeline);
  ~AtMostOnceRunner();

  /** Starts the thread that finalizes pending records. */
  void Start();

  /** Stops the thread, after trying to write each pending record one last
      time. */
  void Stop();

  /** Runs one call on the calling thread, which blocks until the call has
      ended. Calls `send` at most once. */
  Outcome Run(const Request& request, const SendFunction& send);

  /** Returns the number of records whose final state is not written yet. */
  size_t pending_records() const;

 private:
  /** A record whose final state is not written yet. */
  struct PendingRecord {
    /** Key of the record in the object store. */
    std::string object;
    IdempotencyRecord record;
  };

  /** Returns the JSON to store for a record. Omits the body if it is longer
      than Options::max_response_bytes. */
  std::string ToStoredJson(const IdempotencyRecord& record) const;
  /** Writes the final state of `entry`. Returns true if it is written or no
      longer needs to be. */
  bool TryFinalize(const PendingRecord& entry);
  void RunFinalizer();

  const Options options_;
  ObjectStore* const store_;
  Timeline* const timeline_;
  mutable absl::Mutex mutex_;
  std::deque<PendingRecord> pending_records_ ABSL_GUARDED_BY(mutex_);
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_AT_MOST_ONCE_RUNNER_H_
