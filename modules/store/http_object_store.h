#ifndef MODULES_STORE_HTTP_OBJECT_STORE_H_
#define MODULES_STORE_HTTP_OBJECT_STORE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/store/object_store.h"

namespace chicory {

/** The object API over HTTP. Thread-safe. */
class HttpObjectStore : public ObjectStore {
 public:
  struct Options {
    /** `ip:port` of the object API. */
    std::string address;
    /** Longest wait for one answer, beside a watch's own wait. */
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
  class Connections;
  const Options options_;
  std::unique_ptr<Connections> connections_;
};

}  // namespace chicory

#endif  // MODULES_STORE_HTTP_OBJECT_STORE_H_
