#include "modules/store/http_object_store.h"

#include <httplib.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "nlohmann/json.hpp"

namespace chicory {

namespace {

/** Connections kept open for the next call. */
constexpr size_t kMaxIdleConnections = 8;

Error ErrorOfStatus(int status, const std::string& what) {
  switch (status) {
    case 404:
      return {ErrorCode::kNotFound, what};
    case 409:
      return {ErrorCode::kConflict, what};
    case 304:
      return {ErrorCode::kTimeout, what};
    case 400:
    case 413:
      return {ErrorCode::kInvalid, what};
    default:
      return {ErrorCode::kUnavailable, absl::StrCat(what, ": status ", status)};
  }
}

/** The error of a call that got no answer. */
Error ErrorOfTransport(httplib::Error error,
                       bool is_write,
                       const std::string& what) {
  const std::string message =
      absl::StrCat(what, ": ", httplib::to_string(error));
  if (error == httplib::Error::Connection || !is_write)
    return {ErrorCode::kUnavailable, message};
  return {ErrorCode::kOutcomeUnknown, message};
}

}  // namespace

/** Keeps idle clients, so that calls reuse connections. */
class HttpObjectStore::Connections {
 public:
  explicit Connections(const Options& options) : options_(options) {}

  std::unique_ptr<httplib::Client> Take(absl::Duration extra_wait) {
    std::unique_ptr<httplib::Client> client;
    {
      absl::MutexLock lock(&mutex_);
      if (!idle_.empty()) {
        client = std::move(idle_.back());
        idle_.pop_back();
      }
    }
    if (client == nullptr) {
      client = std::make_unique<httplib::Client>("http://" + options_.address);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_url_encode(false);
    }
    const absl::Duration wait = options_.timeout + extra_wait;
    client->set_connection_timeout(absl::ToChronoMilliseconds(wait));
    client->set_read_timeout(absl::ToChronoMilliseconds(wait));
    client->set_write_timeout(absl::ToChronoMilliseconds(wait));
    return client;
  }

  void Return(std::unique_ptr<httplib::Client> client) {
    absl::MutexLock lock(&mutex_);
    if (idle_.size() < kMaxIdleConnections)
      idle_.push_back(std::move(client));
  }

 private:
  const Options options_;
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<httplib::Client>> idle_ ABSL_GUARDED_BY(mutex_);
};

HttpObjectStore::HttpObjectStore(Options options)
    : options_(std::move(options)),
      connections_(std::make_unique<Connections>(options_)) {}

HttpObjectStore::~HttpObjectStore() = default;

namespace {

/** Checks a transport result and its status; the body on success. */
Result<std::string> BodyOf(const httplib::Result& result,
                           bool is_write,
                           const std::string& what) {
  if (!result) {
    Error error = ErrorOfTransport(result.error(), is_write, what);
    return Fail(error.code, std::move(error.message));
  }
  if (result->status != 200) {
    Error error = ErrorOfStatus(result->status, what);
    return Fail(error.code, std::move(error.message));
  }
  return result->body;
}

Result<nlohmann::json> JsonOf(const std::string& body) {
  auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded())
    return Fail(ErrorCode::kUnavailable, "malformed answer of the object API");
  return json;
}

Result<StoredObject> ObjectOf(const std::string& body) {
  BOOST_LEAF_AUTO(json, JsonOf(body));
  try {
    return StoredObject{.version = json.at("version").get<uint64_t>(),
                        .value = json.at("value").get<std::string>()};
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kUnavailable, exception.what());
  }
}

}  // namespace

Result<StoredObject> HttpObjectStore::Read(const std::string& key) {
  auto client = connections_->Take(absl::ZeroDuration());
  const auto result = client->Get("/objects/" + key);
  BOOST_LEAF_AUTO(body, BodyOf(result, /*is_write=*/false, "read " + key));
  connections_->Return(std::move(client));
  return ObjectOf(body);
}

Result<uint64_t> HttpObjectStore::Write(const std::string& key,
                                        const std::string& value,
                                        uint64_t expected_version) {
  auto client = connections_->Take(absl::ZeroDuration());
  const auto result = client->Put(
      absl::StrCat("/objects/", key, "?expected=", expected_version), value,
      "application/octet-stream");
  BOOST_LEAF_AUTO(body, BodyOf(result, /*is_write=*/true, "write " + key));
  connections_->Return(std::move(client));
  BOOST_LEAF_AUTO(json, JsonOf(body));
  return json.value("version", uint64_t{0});
}

Result<void> HttpObjectStore::Remove(const std::string& key,
                                     uint64_t expected_version) {
  auto client = connections_->Take(absl::ZeroDuration());
  const auto result = client->Delete(
      absl::StrCat("/objects/", key, "?expected=", expected_version));
  BOOST_LEAF_CHECK(BodyOf(result, /*is_write=*/true, "remove " + key));
  connections_->Return(std::move(client));
  return {};
}

Result<StoredObject> HttpObjectStore::Watch(const std::string& key,
                                            uint64_t after_version,
                                            absl::Duration wait) {
  auto client = connections_->Take(wait);
  const auto result =
      client->Get(absl::StrCat("/watch/", key, "?after=", after_version,
                               "&wait_ms=", absl::ToInt64Milliseconds(wait)));
  BOOST_LEAF_AUTO(body, BodyOf(result, /*is_write=*/false, "watch " + key));
  connections_->Return(std::move(client));
  return ObjectOf(body);
}

Result<std::vector<std::string>> HttpObjectStore::List(
    const std::string& prefix) {
  auto client = connections_->Take(absl::ZeroDuration());
  const auto result = client->Get("/list/" + prefix);
  BOOST_LEAF_AUTO(body, BodyOf(result, /*is_write=*/false, "list " + prefix));
  connections_->Return(std::move(client));
  BOOST_LEAF_AUTO(json, JsonOf(body));
  std::vector<std::string> keys;
  for (const auto& key : json) {
    if (key.is_string())
      keys.push_back(key.get<std::string>());
  }
  return keys;
}

Result<std::vector<InstanceRecord>> HttpObjectStore::Instances() {
  auto client = connections_->Take(absl::ZeroDuration());
  const auto result = client->Get("/instances");
  BOOST_LEAF_AUTO(body, BodyOf(result, /*is_write=*/false, "instances"));
  connections_->Return(std::move(client));
  BOOST_LEAF_AUTO(json, JsonOf(body));
  std::vector<InstanceRecord> records;
  try {
    for (const auto& item : json) {
      records.push_back(
          {.name = item.at("name").get<std::string>(),
           .role = item.at("role").get<std::string>(),
           .pool = item.value("pool", ""),
           .address = item.at("address").get<std::string>(),
           .data_centre = item.value("data_centre", ""),
           .models = item.value("models", std::vector<std::string>()),
           .leaving = item.value("leaving", false)});
    }
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kUnavailable, exception.what());
  }
  return records;
}

}  // namespace chicory
