#include "modules/serving/configuration_watcher.h"

#include <utility>

#include "absl/random/random.h"
#include "modules/core/log.h"
#include "modules/store/configuration_publisher.h"

namespace chicory {

namespace {

/** Pause after a failed call, and while no configuration is known. */
constexpr absl::Duration kRetryPause = absl::Seconds(1);
constexpr absl::Duration kStopPoll = absl::Milliseconds(50);

}  // namespace

ConfigurationWatcher::ConfigurationWatcher(Options options,
                                           ObjectStore* store,
                                           std::function<bool()> is_watcher)
    : options_(options), store_(store), is_watcher_(std::move(is_watcher)) {}

ConfigurationWatcher::~ConfigurationWatcher() {
  Stop();
}

void ConfigurationWatcher::Start() {
  thread_ = std::thread([this] { Follow(); });
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
  absl::MutexLock serialise(&offer_mutex_);
  const Snapshot before = Current();
  auto built = Capture([&] {
    return ConfigurationSnapshot::Build(std::move(index_json),
                                        std::move(blobs));
  });
  if (!built.ok) {
    LogEvent(Severity::kError, "configuration_rejected",
             {{"reason", built.error.message}});
    return false;
  }
  if (before != nullptr &&
      built.value->index.revision <= before->index.revision) {
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

void ConfigurationWatcher::Pause(absl::Duration wait) {
  const absl::Time until = absl::Now() + wait;
  while (!is_stopping_ && absl::Now() < until)
    absl::SleepFor(kStopPoll);
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

void ConfigurationWatcher::Follow() {
  absl::BitGen random;
  uint64_t version = 0;
  while (!is_stopping_) {
    const bool watches = version != 0 && is_watcher_();
    auto object = Capture([&] {
      return watches ? store_->Watch(kIndexKey, version, options_.watch)
                     : store_->Read(kIndexKey);
    });
    bool is_current = object.ok;
    if (object.ok && object.value.version > version) {
      FetchFromStore(object.value.value);
      // A version whose content could not be read yet is asked for again.
      is_current = IsInForce(object.value.value);
      if (is_current)
        version = object.value.version;
    } else if (!object.ok && object.error.code == ErrorCode::kTimeout) {
      continue;
    }
    if (!is_current)
      Pause(kRetryPause * absl::Uniform(random, 0.5, 1.5));
    else if (!is_watcher_())
      Pause(options_.poll_interval * absl::Uniform(random, 0.5, 1.5));
  }
}

}  // namespace chicory
