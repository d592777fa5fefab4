#ifndef MODULES_STORE_HTTP_OBJECT_STORE_H_
#define MODULES_STORE_HTTP_OBJECT_STORE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/store/object_store.h"

namespace chicory {

/** Client for the platform's object API over HTTP. Reuses idle connections.
    Thread-safe. */
class HttpObjectStore : public ObjectStore {
 public:
  struct Options {
    /** Address of the object API, as `ip:port`. */
    std::string address;
    /** Time-out for connecting, reading and writing, each. Watch() adds its own
        `wait` to it. */
    absl::Duration timeout = absl::Seconds(2);
  };

  explicit HttpObjectStore(Options options);
  ~HttpObjectStore() override;

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
  class ConnectionPool;
  const Options options_;
  std::unique_ptr<ConnectionPool> connection_pool_;
};

}  // namespace chicory

#endif  // MODULES_STORE_HTTP_OBJECT_STORE_H_
