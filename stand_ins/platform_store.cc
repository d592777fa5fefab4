#include "stand_ins/platform_store.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace chicory {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/** Returns the value of `name` in the query of `target`, or an empty string. */
std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t begin = target.find('?');
  if (begin == std::string::npos)
    return {};
  const std::string prefix = name + "=";
  for (absl::string_view part :
       absl::StrSplit(absl::string_view(target).substr(begin + 1), '&')) {
    if (absl::StartsWith(part, prefix))
      return std::string(part.substr(prefix.size()));
  }
  return {};
}

/** Returns the object as JSON. `spec` is copied as it is, so that it may also
   be something that is not JSON. */
std::string ObjectJson(const std::string& name,
                       const std::string& spec,
                       uint64_t revision) {
  const Json metadata = {{"name", name}, {"revision", revision}};
  return absl::StrCat("{\"metadata\":", metadata.dump(), ",\"spec\":", spec,
                      "}");
}

}  // namespace

/** One request: a list, or a watch that may wait for changes. */
class PlatformStore::Call : public HttpHandler,
                            public std::enable_shared_from_this<Call> {
 public:
  explicit Call(PlatformStore* store)
      : store_(store), watches_(store->watches_), timer_(store->loop_) {}
  ~Call() override { watches_->erase(this); }

  void Start(HttpRequest request, ResponseWriter* writer) override {
    writer_ = writer;
    ++store_->calls_;
    kind_ = std::string(request.path().substr(std::string("/objects/").size()));
    switch (store_->mode_) {
      case StoreMode::kSilent:
        return;
      case StoreMode::kDown:
        writer_->SendComplete(kUnavailable, {}, "{}");
        return;
      case StoreMode::kBusy:
        writer_->SendComplete(kTooManyRequests, {}, "{}");
        return;
      case StoreMode::kDisconnect:
        writer_->Abort();
        return;
      case StoreMode::kOk:
        break;
    }
    if (request.method != "GET") {
      writer_->SendComplete(request.method == "POST"
                                ? store_->Create(kind_, request.body)
                                : store_->Delete(kind_),
                            {}, "{}");
      return;
    }
    const std::string watch = QueryValue(request.target, "watch");
    if (watch.empty()) {
      writer_->SendComplete(
          kOk, {}, store_->List(kind_, QueryValue(request.target, "after")));
      return;
    }
    uint64_t wait_ms = 0;
    if (!absl::SimpleAtoi(watch, &revision_) ||
        !absl::SimpleAtoi(QueryValue(request.target, "wait-ms"), &wait_ms)) {
      writer_->SendComplete(400, {}, "{}");
      return;
    }
    if (revision_ < store_->oldest_watchable_revision_) {
      writer_->SendComplete(kGone, {}, "{}");
      return;
    }
    if (store_->HasChanged(kind_, revision_)) {
      Respond();
      return;
    }
    watches_->insert(this);
    timer_.expires_after(std::chrono::milliseconds(wait_ms));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && self->watches_->count(self.get()) != 0)
            self->Respond();
        });
  }

  void OnCallerDisconnected() override {
    watches_->erase(this);
    timer_.cancel();
  }

  /** Responds if objects have changed since the revision of the watch. */
  void RespondIfChanged() {
    if (store_->HasChanged(kind_, revision_))
      Respond();
  }

  void Disconnect() {
    const auto self = shared_from_this();
    watches_->erase(this);
    timer_.cancel();
    writer_->Abort();
  }

 private:
  void Respond() {
    watches_->erase(this);
    timer_.cancel();
    writer_->SendComplete(kOk, {}, store_->Events(kind_, revision_));
  }

  PlatformStore* store_;
  /** Shared, because at shutdown the event loop destroys its calls after the
      store. */
  const std::shared_ptr<std::set<Call*>> watches_;
  boost::asio::steady_timer timer_;
  ResponseWriter* writer_ = nullptr;
  std::string kind_;
  uint64_t revision_ = 0;
};

std::shared_ptr<HttpHandler> PlatformStore::NewHandler() {
  return std::make_shared<Call>(this);
}

void PlatformStore::Put(const std::string& kind,
                        const std::string& name,
                        const std::string& spec) {
  objects_[kind][name] = {.spec = spec, .revision = ++revision_};
  NotifyWatches();
}

void PlatformStore::Remove(const std::string& kind, const std::string& name) {
  objects_[kind][name] = {
      .spec = "null", .revision = ++revision_, .deleted = true};
  NotifyWatches();
}

void PlatformStore::NotifyWatches() {
  if (mode_ != StoreMode::kOk)
    return;
  const std::vector<Call*> waiting(watches_->begin(), watches_->end());
  for (Call* call : waiting)
    call->RespondIfChanged();
}

void PlatformStore::SetMode(StoreMode mode) {
  mode_ = mode;
  if (mode == StoreMode::kOk || mode == StoreMode::kSilent) {
    NotifyWatches();
    return;
  }
  const std::vector<Call*> waiting(watches_->begin(), watches_->end());
  for (Call* call : waiting)
    call->Disconnect();
}

void PlatformStore::CompactHistory() {
  oldest_watchable_revision_ = revision_ + 1;
  const std::vector<Call*> waiting(watches_->begin(), watches_->end());
  for (Call* call : waiting)
    call->Disconnect();
  ++revision_;
}

int PlatformStore::Create(const std::string& kind, const std::string& body) {
  const Json object = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  const Json::json_pointer name_path("/metadata/name");
  if (object.is_discarded() || !object.contains(name_path))
    return kBadRequest;
  const std::string name = object[name_path];
  const auto found = objects_[kind].find(name);
  if (found != objects_[kind].end() && !found->second.deleted)
    return kConflict;
  Put(kind, name, object.value("spec", Json()).dump());
  return kCreated;
}

int PlatformStore::Delete(const std::string& path) {
  const std::vector<std::string> parts = absl::StrSplit(path, '/');
  if (parts.size() != 2)
    return kBadRequest;
  const auto found = objects_[parts[0]].find(parts[1]);
  if (found == objects_[parts[0]].end() || found->second.deleted)
    return kNotFound;
  Remove(parts[0], parts[1]);
  return kOk;
}

bool PlatformStore::HasChanged(const std::string& kind,
                               uint64_t revision) const {
  auto found = objects_.find(kind);
  if (found == objects_.end())
    return false;
  for (const auto& [name, object] : found->second) {
    if (object.revision > revision)
      return true;
  }
  return false;
}

std::string PlatformStore::Events(const std::string& kind,
                                  uint64_t revision) const {
  std::vector<std::string> events;
  auto found = objects_.find(kind);
  if (found != objects_.end()) {
    for (const auto& [name, object] : found->second) {
      if (object.revision <= revision)
        continue;
      events.push_back(absl::StrCat(
          "{\"deleted\":", object.deleted ? "true" : "false",
          ",\"object\":", ObjectJson(name, object.spec, object.revision), "}"));
    }
  }
  return absl::StrCat("{\"events\":[", absl::StrJoin(events, ","),
                      "],\"current-rev\":", revision_, "}");
}

std::string PlatformStore::List(const std::string& kind,
                                const std::string& after) const {
  std::vector<std::string> items;
  bool has_more = false;
  auto found = objects_.find(kind);
  if (found != objects_.end()) {
    for (const auto& [name, object] : found->second) {
      if (object.deleted || name <= after)
        continue;
      if (items.size() == kPageSize) {
        has_more = true;
        break;
      }
      items.push_back(ObjectJson(name, object.spec, object.revision));
    }
  }
  return absl::StrCat("{\"items\":[", absl::StrJoin(items, ","),
                      "],\"has-more\":", has_more ? "true" : "false",
                      ",\"current-rev\":", revision_, "}");
}

}  // namespace chicory
