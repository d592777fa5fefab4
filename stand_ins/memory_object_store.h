#ifndef STAND_INS_MEMORY_OBJECT_STORE_H_
#define STAND_INS_MEMORY_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/store/object_store.h"

namespace chicory {

/** Faults that tests and scripts inject into the object API. */
struct ObjectStoreFaults {
  /** Every call fails with kUnavailable and without effect. */
  bool down = false;
  /** Number of writes that take effect although their responses are lost; they
      fail with kOutcomeUnknown. */
  int lose_responses = 0;
  /** Reads return the value that preceded the last write. */
  bool stale_reads = false;
  /** Limit on the calls per second; calls above it fail without effect. 0 means
      no limit. */
  int calls_per_second = 0;
  /** Delay of every response; applied only by the HTTP server. */
  absl::Duration delay = absl::ZeroDuration();
};

/** An in-memory implementation of the object API for tests, with injectable
    faults. Thread-safe. */
class MemoryObjectStore : public ObjectStore {
 public:
  /** Replaces all active faults and wakes waiting watches. */
  void SetFaults(const ObjectStoreFaults& faults);
  ObjectStoreFaults faults() const;

  /** Adds an instance to the instance list or replaces it. */
  void PutInstance(const InstanceRecord& record);
  /** Removes an instance from the instance list. */
  void RemoveInstance(const std::string& name);

  /** Return the number of calls received, including those that failed. */
  int64_t reads() const;
  int64_t writes() const;

  Result<StoredObject> Read(const std::string& key) override;
  Result<uint64_t> Write(const std::string& key,
                         const std::string& value,
                         uint64_t expected_version) override;
  Result<void> Remove(const std::string& key,
                      uint64_t expected_version) override;
  Result<StoredObject> Watch(const std::string& key,
                             uint64_t after_version,
                             absl::Duration wait) override;
  Result<std::vector<std::string>> List(const std::string& prefix) override;
  Result<std::vector<InstanceRecord>> Instances() override;

 private:
  /** Counts a call against the rate limit. Returns true if the call must fail,
      because of an outage or because it is above the limit. */
  bool CountCallAndCheckFailure() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  static constexpr size_t kMaxValueBytes = 1 << 20;

  struct Entry {
    StoredObject now;
    /** The value before the last write; version 0 if there was none. */
    StoredObject previous;
  };

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  ObjectStoreFaults faults_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Entry> objects_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, InstanceRecord> instances_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_version_ ABSL_GUARDED_BY(mutex_) = 1;
  int64_t reads_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t writes_ ABSL_GUARDED_BY(mutex_) = 0;
  /** Start of the one-second window in which calls are counted for the rate
      limit, and the number of calls in it. */
  absl::Time rate_window_start_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int calls_in_rate_window_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace chicory

#endif  // STAND_INS_MEMORY_OBJECT_STORE_H_
