#include "stand_ins/memory_object_store.h"

#include "absl/strings/match.h"

namespace chicory {

void MemoryObjectStore::SetFaults(const ObjectStoreFaults& faults) {
  absl::MutexLock lock(&mutex_);
  faults_ = faults;
  changed_.SignalAll();
}

ObjectStoreFaults MemoryObjectStore::faults() const {
  absl::MutexLock lock(&mutex_);
  return faults_;
}

void MemoryObjectStore::PutInstance(const InstanceRecord& record) {
  absl::MutexLock lock(&mutex_);
  instances_[record.name] = record;
}

void MemoryObjectStore::RemoveInstance(const std::string& name) {
  absl::MutexLock lock(&mutex_);
  instances_.erase(name);
}

int64_t MemoryObjectStore::reads() const {
  absl::MutexLock lock(&mutex_);
  return reads_;
}

int64_t MemoryObjectStore::writes() const {
  absl::MutexLock lock(&mutex_);
  return writes_;
}

bool MemoryObjectStore::CountCallAndCheckFailure() {
  if (faults_.calls_per_second > 0) {
    const absl::Time now = absl::Now();
    if (now - rate_window_start_ >= absl::Seconds(1)) {
      rate_window_start_ = now;
      calls_in_rate_window_ = 0;
    }
    if (++calls_in_rate_window_ > faults_.calls_per_second)
      return true;
  }
  return faults_.down;
}

Result<StoredObject> MemoryObjectStore::Read(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  ++reads_;
  if (CountCallAndCheckFailure())
    return Fail(ErrorCode::kUnavailable, "object API unavailable");
  auto found = objects_.find(key);
  if (found == objects_.end())
    return Fail(ErrorCode::kNotFound, key);
  if (faults_.stale_reads && found->second.previous.version != 0)
    return found->second.previous;
  return found->second.now;
}

Result<uint64_t> MemoryObjectStore::Write(const std::string& key,
                                          const std::string& value,
                                          uint64_t expected_version) {
  absl::MutexLock lock(&mutex_);
  ++writes_;
  if (CountCallAndCheckFailure())
    return Fail(ErrorCode::kUnavailable, "object API unavailable");
  if (value.size() > kMaxValueBytes)
    return Fail(ErrorCode::kInvalid, "value exceeds 1 MiB");
  auto found = objects_.find(key);
  const uint64_t current_version =
      found == objects_.end() ? 0 : found->second.now.version;
  if (current_version != expected_version)
    return Fail(ErrorCode::kConflict, key);
  Entry& entry = objects_[key];
  entry.previous = entry.now;
  entry.now = {.version = next_version_++, .value = value};
  changed_.SignalAll();
  if (faults_.lose_responses > 0) {
    --faults_.lose_responses;
    return Fail(ErrorCode::kOutcomeUnknown, "response to the write lost");
  }
  return entry.now.version;
}

Result<void> MemoryObjectStore::Remove(const std::string& key,
                                       uint64_t expected_version) {
  absl::MutexLock lock(&mutex_);
  ++writes_;
  if (CountCallAndCheckFailure())
    return Fail(ErrorCode::kUnavailable, "object API unavailable");
  auto found = objects_.find(key);
  if (found == objects_.end())
    return Fail(ErrorCode::kNotFound, key);
  if (found->second.now.version != expected_version)
    return Fail(ErrorCode::kConflict, key);
  objects_.erase(found);
  return {};
}

Result<StoredObject> MemoryObjectStore::Watch(const std::string& key,
                                              uint64_t after_version,
                                              absl::Duration wait) {
  absl::MutexLock lock(&mutex_);
  ++reads_;
  const absl::Time deadline = absl::Now() + wait;
  if (CountCallAndCheckFailure())
    return Fail(ErrorCode::kUnavailable, "object API unavailable");
  while (true) {
    if (faults_.down)
      return Fail(ErrorCode::kUnavailable, "object API unavailable");
    auto found = objects_.find(key);
    if (found != objects_.end() && found->second.now.version > after_version)
      return found->second.now;
    if (changed_.WaitWithDeadline(&mutex_, deadline))
      return Fail(ErrorCode::kTimeout, key);
  }
}

Result<std::vector<std::string>> MemoryObjectStore::List(
    const std::string& prefix) {
  absl::MutexLock lock(&mutex_);
  ++reads_;
  if (CountCallAndCheckFailure())
    return Fail(ErrorCode::kUnavailable, "object API unavailable");
  std::vector<std::string> keys;
  for (const auto& [key, entry] : objects_) {
    if (absl::StartsWith(key, prefix))
      keys.push_back(key);
  }
  return keys;
}

Result<std::vector<InstanceRecord>> MemoryObjectStore::Instances() {
  absl::MutexLock lock(&mutex_);
  ++reads_;
  if (CountCallAndCheckFailure())
    return Fail(ErrorCode::kUnavailable, "object API unavailable");
  std::vector<InstanceRecord> records;
  for (const auto& [name, record] : instances_)
    records.push_back(record);
  return records;
}

}  // namespace chicory
