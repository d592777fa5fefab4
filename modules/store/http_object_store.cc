#include "modules/store/http_object_store.h"

#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "modules/calls/checked_http_client.h"
#include "modules/core/json_split.h"
#include "modules/core/log.h"
#include "nlohmann/json.hpp"

namespace chicory {

namespace {

/** Maximum number of idle connections that are kept for later calls. */
constexpr size_t kMaxIdleConnections = 8;

constexpr uint32_t kMaxPort = 65535;
/** How much of an unusable entry of the instance list is logged. */
constexpr size_t kMaxLoggedBytes = 200;

/** Returns the error for a response whose status is not 200. */
Error ErrorFromStatus(int status, const std::string& what) {
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

/** Returns the error for a call that received no response. A write fails with
    kOutcomeUnknown unless the connection could not be established. */
Error ErrorFromTransport(httplib::Error error,
                         bool is_write,
                         const std::string& what) {
  const std::string message =
      absl::StrCat(what, ": ", httplib::to_string(error));
  if (error == httplib::Error::Connection || !is_write)
    return {ErrorCode::kUnavailable, message};
  return {ErrorCode::kOutcomeUnknown, message};
}

}  // namespace

/** A thread-safe pool of HTTP clients with idle keep-alive connections. */
class HttpObjectStore::ConnectionPool {
 public:
  explicit ConnectionPool(const Options& options) : options_(options) {}

  /** Returns an idle client, or a new one if there is none, with its time-outs
      set to Options::timeout plus `extra_wait`. */
  std::unique_ptr<CheckedHttpClient> Acquire(absl::Duration extra_wait) {
    std::unique_ptr<CheckedHttpClient> client;
    {
      absl::MutexLock lock(&mutex_);
      if (!idle_.empty()) {
        client = std::move(idle_.back());
        idle_.pop_back();
      }
    }
    if (client == nullptr) {
      client = std::make_unique<CheckedHttpClient>(options_.address);
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

  /** Returns a client to the pool; closes it if the pool is full. */
  void Release(std::unique_ptr<CheckedHttpClient> client) {
    absl::MutexLock lock(&mutex_);
    if (idle_.size() < kMaxIdleConnections)
      idle_.push_back(std::move(client));
  }

 private:
  const Options options_;
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<CheckedHttpClient>> idle_ ABSL_GUARDED_BY(mutex_);
};

HttpObjectStore::HttpObjectStore(Options options)
    : options_(std::move(options)),
      connection_pool_(std::make_unique<ConnectionPool>(options_)) {}

HttpObjectStore::~HttpObjectStore() = default;

namespace {

/** Returns the response body, or the error for a failed transfer or a status
    other than 200. */
Result<std::string> ResponseBody(const httplib::Result& result,
                                 bool is_write,
                                 const std::string& what) {
  if (!result) {
    Error error = ErrorFromTransport(result.error(), is_write, what);
    return Fail(error.code, std::move(error.message));
  }
  if (result->status != 200) {
    Error error = ErrorFromStatus(result->status, what);
    return Fail(error.code, std::move(error.message));
  }
  return result->body;
}

Result<nlohmann::json> ParseJson(const std::string& body) {
  auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded())
    return Fail(ErrorCode::kUnavailable,
                "malformed response from the object API");
  return json;
}

Result<StoredObject> ParseObject(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body));
  try {
    return StoredObject{.version = json.at("version").get<uint64_t>(),
                        .value = json.at("value").get<std::string>()};
  } catch (const nlohmann::json::exception& exception) {
    return Fail(ErrorCode::kUnavailable, exception.what());
  }
}

/** Returns whether `address` is `host:port` with a port from 1 to 65535. */
bool IsHostAndPort(absl::string_view address) {
  const std::vector<absl::string_view> parts = absl::StrSplit(address, ':');
  uint32_t port = 0;
  return parts.size() == 2 && !parts[0].empty() &&
         absl::SimpleAtoi(parts[1], &port) && port >= 1 && port <= kMaxPort;
}

/** Returns an entry of the instance list, or nullopt if it is unusable, which
    is to be expected: other parties may write to the list. */
std::optional<InstanceRecord> ParseInstance(absl::string_view text) {
  const auto json = nlohmann::json::parse(text.begin(), text.end(), nullptr,
                                          /*allow_exceptions=*/false);
  if (!json.is_object())
    return std::nullopt;
  try {
    InstanceRecord record{
        .name = json.at("name").get<std::string>(),
        .role = json.at("role").get<std::string>(),
        .pool = json.value("pool", ""),
        .address = json.at("address").get<std::string>(),
        .data_centre = json.value("data_centre", ""),
        .models = json.value("models", std::vector<std::string>()),
        .leaving = json.value("leaving", false)};
    if (!IsHostAndPort(record.address))
      return std::nullopt;
    return record;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

Result<StoredObject> HttpObjectStore::Read(const std::string& key) {
  auto client = connection_pool_->Acquire(absl::ZeroDuration());
  const auto result = client->Get("/objects/" + key);
  BOOST_LEAF_AUTO(body,
                  ResponseBody(result, /*is_write=*/false, "read " + key));
  connection_pool_->Release(std::move(client));
  return ParseObject(body);
}

Result<uint64_t> HttpObjectStore::Write(const std::string& key,
                                        const std::string& value,
                                        uint64_t expected_version) {
  auto client = connection_pool_->Acquire(absl::ZeroDuration());
  const auto result = client->Put(
      absl::StrCat("/objects/", key, "?expected=", expected_version), value,
      "application/octet-stream");
  BOOST_LEAF_AUTO(body,
                  ResponseBody(result, /*is_write=*/true, "write " + key));
  connection_pool_->Release(std::move(client));
  BOOST_LEAF_AUTO(json, ParseJson(body));
  return json.value("version", uint64_t{0});
}

Result<void> HttpObjectStore::Remove(const std::string& key,
                                     uint64_t expected_version) {
  auto client = connection_pool_->Acquire(absl::ZeroDuration());
  const auto result = client->Delete(
      absl::StrCat("/objects/", key, "?expected=", expected_version));
  BOOST_LEAF_CHECK(ResponseBody(result, /*is_write=*/true, "remove " + key));
  connection_pool_->Release(std::move(client));
  return {};
}

Result<StoredObject> HttpObjectStore::Watch(const std::string& key,
                                            uint64_t after_version,
                                            absl::Duration wait) {
  auto client = connection_pool_->Acquire(wait);
  const auto result =
      client->Get(absl::StrCat("/watch/", key, "?after=", after_version,
                               "&wait_ms=", absl::ToInt64Milliseconds(wait)));
  BOOST_LEAF_AUTO(body,
                  ResponseBody(result, /*is_write=*/false, "watch " + key));
  connection_pool_->Release(std::move(client));
  return ParseObject(body);
}

Result<std::vector<std::string>> HttpObjectStore::List(
    const std::string& prefix) {
  auto client = connection_pool_->Acquire(absl::ZeroDuration());
  const auto result = client->Get("/list/" + prefix);
  BOOST_LEAF_AUTO(body,
                  ResponseBody(result, /*is_write=*/false, "list " + prefix));
  connection_pool_->Release(std::move(client));
  BOOST_LEAF_AUTO(json, ParseJson(body));
  std::vector<std::string> keys;
  for (const auto& key : json) {
    if (key.is_string())
      keys.push_back(key.get<std::string>());
  }
  return keys;
}

Result<std::vector<InstanceRecord>> HttpObjectStore::Instances() {
  auto client = connection_pool_->Acquire(absl::ZeroDuration());
  const auto result = client->Get("/instances");
  BOOST_LEAF_AUTO(body, ResponseBody(result, /*is_write=*/false, "instances"));
  connection_pool_->Release(std::move(client));
  const auto items = SplitJsonArray(body);
  if (!items)
    return Fail(ErrorCode::kUnavailable, "the instance list is no list");
  std::vector<InstanceRecord> records;
  for (absl::string_view item : *items) {
    auto record = ParseInstance(item);
    if (record) {
      records.push_back(*std::move(record));
      continue;
    }
    LogEvent(Severity::kWarning, "instance_ignored",
             {{"entry", std::string(item.substr(0, kMaxLoggedBytes))}});
  }
  return records;
}

}  // namespace chicory
