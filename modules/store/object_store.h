#ifndef MODULES_STORE_OBJECT_STORE_H_
#define MODULES_STORE_OBJECT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace chicory {

/** An object of the platform with its version. */
struct StoredObject {
  /** Grows with every write of the object; never 0. */
  uint64_t version = 0;
  std::string value;
};

/** One line of the platform's list of instances. The list lags. */
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

/** The platform's object API, as far as this project uses it.

    Every call may take long and may fail with kUnavailable (certainly without
    effect), kOutcomeUnknown (a write whose answer was lost) or kTimeout.
    Implementations are thread-safe. */
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /** The object; kNotFound when there is none. May be stale. */
  virtual Result<StoredObject> Read(const std::string& key) = 0;

  /** Writes if the object's version is `expected_version` (0: it must not
      exist) and returns the new version; kConflict otherwise. */
  virtual Result<uint64_t> Write(const std::string& key,
                                 const std::string& value,
                                 uint64_t expected_version) = 0;

  /** Removes the object if its version is `expected_version`. */
  virtual Result<void> Remove(const std::string& key,
                              uint64_t expected_version) = 0;

  /** Waits up to `wait` for a version after `after_version`; kTimeout when
      none came. A waiting watch counts as a call. */
  virtual Result<StoredObject> Watch(const std::string& key,
                                     uint64_t after_version,
                                     absl::Duration wait) = 0;

  /** Keys that begin with `prefix`, sorted. */
  virtual Result<std::vector<std::string>> List(const std::string& prefix) = 0;

  /** The platform's list of instances. */
  virtual Result<std::vector<InstanceRecord>> Instances() = 0;
};

}  // namespace chicory

#endif  // MODULES_STORE_OBJECT_STORE_H_
