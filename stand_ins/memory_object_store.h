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

/** Faults of the object API that tests and scripts switch on. */
struct ObjectStoreFaults {
  /** Every call fails without effect. */
  bool down = false;
  /** Writes take effect and their answers are lost, this many times. */
  int lose_responses = 0;
  /** Reads return the value before the last write. */
  bool stale_reads = false;
  /** Calls served a second; beyond them calls fail without effect. 0 for no
      cap. */
  int calls_per_second = 0;
  /** Each call takes this long; applied by the server only. */
  absl::Duration delay = absl::ZeroDuration();
};

/** An object API in memory, with faults on command. Thread-safe. */
class MemoryObjectStore : public ObjectStore {
 public:
  /** Replaces the faults in force. */
  void SetFaults(const ObjectStoreFaults& faults);
  ObjectStoreFaults faults() const;

  /** Adds or replaces a line of the instance list. */
  void PutInstance(const InstanceRecord& record);
  /** Takes a line off the instance list. */
  void RemoveInstance(const std::string& name);

  /** Calls served so far. */
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
  /** Whether the call is not served: an outage, or past the cap. */
  bool IsAway() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  /** The largest value, in bytes. */
  static constexpr size_t kMaxValueBytes = 1 << 20;

  struct Entry {
    StoredObject now;
    StoredObject before;
  };

  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  ObjectStoreFaults faults_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Entry> objects_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, InstanceRecord> instances_ ABSL_GUARDED_BY(mutex_);
  uint64_t next_version_ ABSL_GUARDED_BY(mutex_) = 1;
  int64_t reads_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t writes_ ABSL_GUARDED_BY(mutex_) = 0;
  /** The second that is counted for the cap, and its calls. */
  absl::Time second_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  int calls_in_second_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace chicory

#endif  // STAND_INS_MEMORY_OBJECT_STORE_H_
