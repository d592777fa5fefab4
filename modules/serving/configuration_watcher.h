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

/** Holds the configuration in force and keeps it up to date.

    A background thread follows the index in the object API: instances chosen as
    watchers do so by long polls, all others by rare reads. Newer configurations
    that peers have are passed to ApplyIfNewer. The revision never decreases.
    Thread-safe. */
class ConfigurationWatcher {
 public:
  using Snapshot = std::shared_ptr<const ConfigurationSnapshot>;
  using Listener = std::function<void(const Snapshot&)>;

  struct Options {
    /** Time-out of one watch request of a watcher. */
    absl::Duration watch_timeout = absl::Seconds(3);
    /** Mean time between two reads of the index by an instance that is not a
        watcher. */
    absl::Duration poll_interval = absl::Seconds(60);
  };

  /** `store` must outlive this object. `is_watcher` returns whether this
      instance is currently one of the watchers; it is called on the background
      thread. */
  ConfigurationWatcher(Options options,
                       ObjectStore* store,
                       std::function<bool()> is_watcher);
  ~ConfigurationWatcher();

  /** Sets the listener, which is called after each change on the thread that
      caused it, one change at a time. Must be set before Start. */
  void set_listener(Listener listener) { listener_ = std::move(listener); }

  /** Starts the background thread. */
  void Start();
  /** Ends the background thread. Blocks while a call to the object API is in
      progress. */
  void Stop();

  /** Returns the configuration in force, or null if none is known yet. */
  Snapshot Current() const;

  /** Puts a configuration in force if its revision is newer and it is valid.
      Returns whether it did so. */
  bool ApplyIfNewer(std::string index_json,
                    std::map<std::string, std::string> blobs);

 private:
  void WatchStore();
  void FetchFromStore(const std::string& index_json);
  /** Returns whether at least the revision of `index_json` is in force. */
  bool IsInForce(const std::string& index_json) const;
  /** Sleeps for `wait`, or until Stop is called. */
  void SleepUnlessStopping(absl::Duration wait);

  const Options options_;
  ObjectStore* const store_;
  const std::function<bool()> is_watcher_;
  Listener listener_;
  mutable absl::Mutex mutex_;
  Snapshot current_ ABSL_GUARDED_BY(mutex_);
  /** Serialises changes, so that the listener is called in order. */
  absl::Mutex apply_mutex_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_CONFIGURATION_WATCHER_H_
