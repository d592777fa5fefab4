#ifndef MODULES_SERVING_CONFIGURATION_WATCHER_H_
#define MODULES_SERVING_CONFIGURATION_WATCHER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/config/published.h"
#include "modules/store/object_store.h"

namespace chicory {

/** Holds the configuration in force and takes newer ones from wherever they
    come: the object API or peers. A revision never goes back. Thread-safe. */
class ConfigurationWatcher {
 public:
  using Snapshot = std::shared_ptr<const ConfigurationSnapshot>;
  using Listener = std::function<void(const Snapshot&)>;

  struct Options {
    /** Longest wait of one watch. */
    absl::Duration watch = absl::Seconds(3);
    /** How often an instance that does not watch reads the index. */
    absl::Duration poll_interval = absl::Seconds(60);
  };

  /** `store` must outlive this object. `is_watcher` says whether this instance
      watches for all. */
  ConfigurationWatcher(Options options,
                       ObjectStore* store,
                       std::function<bool()> is_watcher);
  ~ConfigurationWatcher();

  /** Called after each change, on the thread that brought it. Set before
      Start. */
  void set_listener(Listener listener) { listener_ = std::move(listener); }

  /** Starts to follow the object API. */
  void Start();
  void Stop();

  /** The configuration in force; null when none is known. */
  Snapshot Current() const;

  /** Takes a configuration if it is newer; false when it is not, or when it is
      damaged. */
  bool ApplyIfNewer(std::string index_json,
                    std::map<std::string, std::string> blobs);

 private:
  void Follow();
  void FetchFromStore(const std::string& index_json);
  /** Whether the revision of `index_json`, or a later one, is in force. */
  bool IsInForce(const std::string& index_json) const;
  void Pause(absl::Duration wait);

  const Options options_;
  ObjectStore* const store_;
  const std::function<bool()> is_watcher_;
  Listener listener_;
  mutable absl::Mutex mutex_;
  Snapshot current_ ABSL_GUARDED_BY(mutex_);
  /** Serialises changes, so that listeners see them in order. */
  absl::Mutex offer_mutex_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_CONFIGURATION_WATCHER_H_
