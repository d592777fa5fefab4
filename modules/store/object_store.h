#ifndef MODULES_STORE_OBJECT_STORE_H_
#define MODULES_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** A stored object and its version. */
struct StoredObject {
  /** Increases with every write of the object; never 0. */
  uint64_t version = 0;
  std::string value;
};

/** An entry of the platform's instance list. The list may be out of date. */
struct InstanceRecord {
  std::string name;
  /** `entry`, `engine` or `service`. */
  std::string role;
  std::string pool;
  /** `ip:port`. */
  std::string address;
  std::string data_centre;
  std::vector<std::string> models;
  bool leaving = false;
};

/** Interface to the platform's object API, limited to the operations that this
    project uses.

    All calls block, possibly for long, and may fail with kUnavailable (the call
    had no effect), kOutcomeUnknown (the response to a write was lost)
    or kTimeout. Implementations are thread-safe. */
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /** Returns the object, or kNotFound if it does not exist. The result may be
      stale. */
  virtual Result<StoredObject> Read(const std::string& key) = 0;

  /** Writes the object if its current version is `expected_version`, where 0
      means that it must not exist yet. Returns the new version, or kConflict if
      the version differs. */
  virtual Result<uint64_t> Write(const std::string& key,
                                 const std::string& value,
                                 uint64_t expected_version) = 0;

  /** Removes the object if its current version is `expected_version`; kConflict
      if the version differs, kNotFound if the object does not exist. */
  virtual Result<void> Remove(const std::string& key,
                              uint64_t expected_version) = 0;

  /** Waits up to `wait` for a version newer than `after_version` and returns
      it, or kTimeout if there is none in time. Each watch counts as one call to
      the object API. */
  virtual Result<StoredObject> Watch(const std::string& key,
                                     uint64_t after_version,
                                     absl::Duration wait) = 0;

  /** Returns the keys that start with `prefix`, sorted. */
  virtual Result<std::vector<std::string>> List(const std::string& prefix) = 0;

  /** Returns the platform's instance list. */
  virtual Result<std::vector<InstanceRecord>> Instances() = 0;
};

}  // namespace chicory

#endif  // MODULES_STORE_OBJECT_STORE_H_
