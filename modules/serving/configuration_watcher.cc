#include "modules/serving/configuration_watcher.h"

#include <utility>

#include "absl/random/random.h"
#include "modules/core/log.h"
#include "modules/store/configuration_publisher.h"

namespace chicory {

namespace {

/** Mean delay after a failed call, and while no configuration can be put in
    force. */
constexpr absl::Duration kRetryDelay = absl::Seconds(1);
/** Interval at which a sleeping thread checks for a stop. */
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(50);

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(Options options,
                                           ObjectStore* store,
                                           std::function<bool()> is_watcher)
    : options_(options), store_(store), is_watcher_(std::move(is_watcher)) {}

ConfigurationWatcher::~ConfigurationWatcher() {
  Stop();
}

void ConfigurationWatcher::Start() {
  thread_ = std::thread([this] { WatchStore(); });
}

void ConfigurationWatcher::Stop() {
  is_stopping_ = true;
  if (thread_.joinable())
    thread_.join();
}

ConfigurationWatcher::Snapshot ConfigurationWatcher::Current() const {
  absl::MutexLock lock(&mutex_);
  return current_;
}

bool ConfigurationWatcher::ApplyIfNewer(
    std::string index_json,
    std::map<std::string, std::string> blobs) {
  absl::MutexLock apply_lock(&apply_mutex_);
  const Snapshot previous = Current();
  auto built = Capture([&] {
    return ConfigurationSnapshot::Build(std::move(index_json),
                                        std::move(blobs));
  });
  if (!built.ok) {
    LogEvent(Severity::kError, "configuration_rejected",
             {{"reason", built.error.message}});
    return false;
  }
  if (previous != nullptr &&
      built.value->index.revision <= previous->index.revision) {
    return false;
  }
  {
    absl::MutexLock lock(&mutex_);
    current_ = built.value;
  }
  if (listener_)
    listener_(built.value);
  return true;
}

void ConfigurationWatcher::SleepUnlessStopping(absl::Duration wait) {
  const absl::Time until = absl::Now() + wait;
  while (!is_stopping_ && absl::Now() < until)
    absl::SleepFor(kStopPollInterval);
}

void ConfigurationWatcher::FetchFromStore(const std::string& index_json) {
  auto index =
      Capture([&] { return ConfigurationIndex::FromJson(index_json); });
  if (!index.ok)
    return;
  const Snapshot current = Current();
  if (current != nullptr && index.value.revision <= current->index.revision)
    return;
  std::map<std::string, std::string> blobs;
  for (const auto& entry : index.value.blobs) {
    const std::string& name = entry.second;
    if (current != nullptr && current->blobs.count(name) != 0) {
      blobs[name] = current->blobs.at(name);
      continue;
    }
    auto blob = Capture([&] { return store_->Read(BlobKey(name)); });
    if (!blob.ok)
      return;
    blobs[name] = std::move(blob.value.value);
  }
  ApplyIfNewer(index_json, std::move(blobs));
}

bool ConfigurationWatcher::IsInForce(const std::string& index_json) const {
  const auto index =
      Capture([&] { return ConfigurationIndex::FromJson(index_json); });
  const Snapshot current = Current();
  return index.ok && current != nullptr &&
         current->index.revision >= index.value.revision;
}

void ConfigurationWatcher::WatchStore() {
  absl::BitGen random;
  uint64_t version = 0;
  while (!is_stopping_) {
    const bool should_watch = version != 0 && is_watcher_();
    auto object = Capture([&] {
      return should_watch
                 ? store_->Watch(kIndexKey, version, options_.watch_timeout)
                 : store_->Read(kIndexKey);
    });
    bool is_current = object.ok;
    if (object.ok && object.value.version > version) {
      FetchFromStore(object.value.value);
      // A version whose blobs could not be read yet is fetched again.
      is_current = IsInForce(object.value.value);
      if (is_current)
        version = object.value.version;
    } else if (!object.ok && object.error.code == ErrorCode::kTimeout) {
      continue;
    }
    if (!is_current)
      SleepUnlessStopping(kRetryDelay * absl::Uniform(random, 0.5, 1.5));
    else if (!is_watcher_())
      SleepUnlessStopping(options_.poll_interval *
                          absl::Uniform(random, 0.5, 1.5));
  }
}

}  // namespace chicory
