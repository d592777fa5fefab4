#include "modules/serving/http_upstream_client.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "modules/calls/checked_http_client.h"
#include "modules/core/log.h"
#include "modules/serving/response_reservation.h"
#include "nlohmann/json.hpp"

namespace chicory {

namespace {

constexpr absl::Duration kConnectTimeout = absl::Seconds(1);
constexpr absl::Duration kControlCallTimeout = absl::Milliseconds(500);

/** Connections that were idle for longer are closed instead of reused, because
    the upstream may close one just as a request is sent on it. */
constexpr absl::Duration kMaxIdleTime = absl::Seconds(2);
constexpr size_t kMaxIdleConnectionsPerAddress = 64;

/** Far above any response of a plain service or of an engine to a query. */
constexpr size_t kMaxBodyBytes = 8 << 20;

using Json = nlohmann::json;

/** Returns the outcome of a call that failed before its response was complete.
    Silence for at least 90 % of `stall` counts as a stall, a shorter one as a
    broken connection. */
AttemptOutcome OutcomeOfFailedCall(httplib::Error error,
                                   absl::Duration silence,
                                   absl::Duration stall) {
  if (error == httplib::Error::Connection)
    return AttemptOutcome::kUnreachable;
  return silence >= 0.9 * stall ? AttemptOutcome::kStalled
                                : AttemptOutcome::kDied;
}

void ParseLevels(const Json& json,
                 const char* key,
                 std::array<int64_t, kPriorityLevels>* levels) {
  const auto values = json.value(key, std::vector<int64_t>());
  for (size_t i = 0; i < values.size() && i < levels->size(); ++i)
    (*levels)[i] = values[i];
}

std::optional<LoadReport> ParseLoadReport(const Json& json) {
  if (!json.is_object())
    return std::nullopt;
  LoadReport report;
  report.incarnation = json.value("incarnation", uint64_t{0});
  report.measured_at =
      absl::Now() - absl::Milliseconds(json.value("age_ms", 0));
  report.memory_tokens = json.value("memory_tokens", int64_t{0});
  report.free_memory_tokens = json.value("free_memory_tokens", int64_t{0});
  report.prefill_tokens_per_second =
      json.value("prefill_tokens_per_second", 0.0);
  report.leaving = json.value("leaving", false);
  ParseLevels(json, "queued_prefill_tokens", &report.queued_prefill_tokens);
  ParseLevels(json, "waiting_memory_tokens", &report.waiting_memory_tokens);
  return report;
}

/** Splits a stream of bytes into lines. */
class LineSplitter {
 public:
  static constexpr size_t kMaxLineBytes = 1 << 20;

  /** Calls `take` for each complete line. Returns false if `take` did, or if an
      unfinished line is longer than kMaxLineBytes. */
  template <class Take>
  bool Feed(const char* data, size_t size, Take&& take) {
    partial_line_.append(data, size);
    size_t begin = 0;
    for (size_t end = partial_line_.find('\n', begin); end != std::string::npos;
         end = partial_line_.find('\n', begin)) {
      if (!take(std::string_view(partial_line_).substr(begin, end - begin)))
        return false;
      begin = end + 1;
    }
    partial_line_.erase(0, begin);
    return partial_line_.size() <= kMaxLineBytes;
  }

 private:
  std::string partial_line_;
};

bool ParseStreamEvent(std::string_view line, StreamEvent* event) {
  const Json json = Json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object())
    return false;
  try {
    event->chunk.attempt = json.value("a", "");
    event->chunk.index = json.value("i", int64_t{0});
    event->chunk.text = json.value("t", "");
    event->chunk.is_end = json.value("end", false);
    event->chunk.total = json.value("total", int64_t{0});
    event->prompt_tokens = json.value("prompt_tokens", int64_t{0});
    event->stamp = json.value("stamp", uint64_t{0});
    if (json.contains("load"))
      event->load = ParseLoadReport(json["load"]);
  } catch (const Json::exception&) {
    return false;
  }
  return true;
}

/** Reads an engine's refusal of `attempt`. On a connection that has carried
   other calls, only a refusal that names the attempt counts: another one may be
   a late copy of an earlier refusal, while the engine runs this attempt. */
UpstreamCallResult ParseRefusal(int status,
                                const std::string& body,
                                const std::string& attempt,
                                bool is_reused_connection) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  const UpstreamCallResult failed{.outcome = AttemptOutcome::kFailed,
                                  .detail = absl::StrCat("status ", status)};
  if (!json.is_object())
    return failed;
  try {
    if (json.value("ran", true))
      return failed;
    if (is_reused_connection && json.value("attempt", "") != attempt)
      return failed;
    const std::string reason = json.value("reason", "");
    return {.outcome = AttemptOutcome::kRefused,
            .leaving = reason == "leaving",
            .detail = reason};
  } catch (const Json::exception&) {
    return failed;
  }
}

}  // namespace

/** Reuses idle connections to upstreams. Thread-safe. */
class HttpUpstreamClient::ConnectionPool {
 public:
  /** Returns an idle connection to `address`, or a new one if there is none or
      `fresh` is set. Sets `is_reused`, if given, to which of the two it is. */
  std::unique_ptr<CheckedHttpClient> Take(const std::string& address,
                                          bool fresh = false,
                                          bool* is_reused = nullptr) {
    std::unique_ptr<CheckedHttpClient> client =
        fresh ? nullptr : TakeIdle(address);
    if (is_reused != nullptr)
      *is_reused = client != nullptr;
    if (client == nullptr) {
      client = std::make_unique<CheckedHttpClient>(address);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_url_encode(false);
      client->set_connection_timeout(
          absl::ToChronoMilliseconds(kConnectTimeout));
    }
    client->set_max_body_bytes(kMaxBodyBytes);
    return client;
  }

  /** Makes a connection available for reuse. */
  void Return(const std::string& address,
              std::unique_ptr<CheckedHttpClient> client) {
    absl::MutexLock lock(&mutex_);
    std::vector<IdleConnection>& idle = idle_by_address_[address];
    if (idle.size() < kMaxIdleConnectionsPerAddress)
      idle.push_back({std::move(client), absl::Now()});
  }

 private:
  struct IdleConnection {
    std::unique_ptr<CheckedHttpClient> client;
    absl::Time idle_since;
  };

  /** Returns an idle connection to `address`, or null if there is none. */
  std::unique_ptr<CheckedHttpClient> TakeIdle(const std::string& address) {
    absl::MutexLock lock(&mutex_);
    std::vector<IdleConnection>& idle = idle_by_address_[address];
    const absl::Time oldest_reusable = absl::Now() - kMaxIdleTime;
    std::erase_if(idle, [&](const IdleConnection& entry) {
      return entry.idle_since < oldest_reusable;
    });
    if (idle.empty())
      return nullptr;
    auto client = std::move(idle.back().client);
    idle.pop_back();
    return client;
  }

  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::vector<IdleConnection>> idle_by_address_
      ABSL_GUARDED_BY(mutex_);
};

HttpUpstreamClient::HttpUpstreamClient(SharedMemoryBudget* memory)
    : memory_(memory), connection_pool_(std::make_unique<ConnectionPool>()) {}

HttpUpstreamClient::~HttpUpstreamClient() = default;

UpstreamCallResult HttpUpstreamClient::Stream(const StreamCall& call,
                                              const EventSink& sink,
                                              Interrupt* interrupt) {
  bool is_reused = false;
  auto client =
      connection_pool_->Take(call.address, /*fresh=*/false, &is_reused);
  client->set_write_timeout(absl::ToChronoMilliseconds(call.later_stall));
  client->set_read_timeout(absl::ToChronoMilliseconds(call.first_stall));
  // Lines and refusals are bounded below.
  client->set_max_body_bytes(std::numeric_limits<size_t>::max());
  const Json body = {{"attempt", call.attempt},
                     {"prompt", call.prompt},
                     {"max_tokens", call.max_tokens},
                     {"level", call.level},
                     {"resume_from", call.resume_from},
                     {"group_size", call.group_size},
                     {"stamp", call.stamp}};
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/streams";
  request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  request.set_header("Content-Type", "application/json");

  UpstreamCallResult end;
  bool is_complete = false;
  bool is_aborted_by_sink = false;
  int status = 0;
  std::string error_body;
  LineSplitter lines;
  absl::Time last_received = absl::Now();
  absl::Duration stall = call.first_stall;
  request.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    return true;
  };
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    last_received = absl::Now();
    if (status != 200) {
      error_body.append(data, size);
      return error_body.size() <= kMaxBodyBytes;
    }
    stall = call.later_stall;
    return lines.Feed(data, size, [&](std::string_view line) {
      StreamEvent event;
      if (!ParseStreamEvent(line, &event))
        return false;
      is_complete |= event.chunk.is_end;
      is_aborted_by_sink = !sink(std::move(event));
      return !is_aborted_by_sink;
    });
  };
  httplib::Result result(nullptr, httplib::Error::Unknown);
  const bool has_run = interrupt->Guard(
      [&client] { client->stop(); }, [&] { result = client->send(request); });
  if (!has_run)
    return {.outcome = AttemptOutcome::kUnreachable, .detail = "interrupted"};
  if (status != 0 && status != 200)
    return ParseRefusal(status, error_body, call.attempt, is_reused);
  if (is_complete && !is_aborted_by_sink) {
    if (result)
      connection_pool_->Return(call.address, std::move(client));
    end.outcome = AttemptOutcome::kCompleted;
    return end;
  }
  if (is_aborted_by_sink)
    return {.outcome = AttemptOutcome::kFailed,
            .detail = "stream aborted by its receiver"};
  if (result)
    return {.outcome = AttemptOutcome::kDied,
            .detail = "stream ended before the response was complete"};
  // If this process interrupted the stream, the error does not describe the
  // upstream.
  end.outcome = interrupt->is_raised()
                    ? AttemptOutcome::kStalled
                    : OutcomeOfFailedCall(result.error(),
                                          absl::Now() - last_received, stall);
  end.detail = httplib::to_string(result.error());
  return end;
}

UpstreamCallResult HttpUpstreamClient::ReservePromptPart(const StreamCall& call,
                                                         int64_t tokens,
                                                         Interrupt* interrupt) {
  // The grant does not name the attempt, so a late copy of another one must not
  // be able to arrive.
  auto client = connection_pool_->Take(call.address, /*fresh=*/true);
  client->set_write_timeout(absl::ToChronoMilliseconds(call.later_stall));
  client->set_read_timeout(absl::ToChronoMilliseconds(call.first_stall));
  const Json body = {{"attempt", call.attempt},
                     {"tokens", tokens},
                     {"level", call.level},
                     {"stamp", call.stamp}};
  const absl::Time begin = absl::Now();
  httplib::Result result(nullptr, httplib::Error::Unknown);
  const bool has_run = interrupt->Guard(
      [&client] { client->stop(); },
      [&] {
        result = client->Post("/v1/holds", body.dump(), "application/json");
      });
  if (!has_run)
    return {.outcome = AttemptOutcome::kUnreachable, .detail = "interrupted"};
  if (!result) {
    return {.outcome = OutcomeOfFailedCall(result.error(), absl::Now() - begin,
                                           call.first_stall),
            .detail = httplib::to_string(result.error())};
  }
  if (result->status != 200)
    return ParseRefusal(result->status, result->body, call.attempt,
                        /*is_reused_connection=*/false);
  connection_pool_->Return(call.address, std::move(client));
  return {.outcome = AttemptOutcome::kCompleted};
}

namespace {

/** A short query, or a command if it has a body. */
httplib::Request ControlRequest(const std::string& path,
                                const std::string& body = "") {
  httplib::Request request;
  request.method = body.empty() ? "GET" : "POST";
  request.path = path;
  request.body = body;
  if (!body.empty())
    request.set_header("Content-Type", "application/json");
  return request;
}

/** Sends `request` and returns its JSON response. Fails with kNotFound for
    status 404 and with kUnavailable for any other failure. */
Result<Json> ControlCall(CheckedHttpClient* client,
                         const httplib::Request& request) {
  client->set_read_timeout(absl::ToChronoMilliseconds(kControlCallTimeout));
  client->set_write_timeout(absl::ToChronoMilliseconds(kControlCallTimeout));
  const httplib::Result result = client->send(request);
  if (!result)
    return Fail(ErrorCode::kUnavailable, httplib::to_string(result.error()));
  if (result->status == 404)
    return Fail(ErrorCode::kNotFound, "status 404");
  if (result->status != 200)
    return Fail(ErrorCode::kUnavailable,
                absl::StrCat("status ", result->status));
  Json json = Json::parse(result->body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded())
    return Fail(ErrorCode::kUnavailable, "upstream response is not valid JSON");
  return json;
}

}  // namespace

Result<bool> HttpUpstreamClient::IsPromptPartPrefilled(
    const std::string& address,
    const std::string& attempt) {
  auto client = connection_pool_->Take(address);
  BOOST_LEAF_AUTO(
      json, ControlCall(client.get(), ControlRequest("/v1/holds/" + attempt)));
  connection_pool_->Return(address, std::move(client));
  if (!json.is_object() || !json.contains("ready") ||
      !json["ready"].is_boolean())
    return Fail(ErrorCode::kUnavailable, "`ready` is missing or no boolean");
  return json["ready"].get<bool>();
}

UpstreamCallResult HttpUpstreamClient::Call(const ServiceCall& call,
                                            ServiceResponse* service_response,
                                            Interrupt* interrupt) {
  auto client = connection_pool_->Take(call.address, call.fresh_connection);
  client->set_write_timeout(absl::ToChronoMilliseconds(call.timeout));
  client->set_read_timeout(absl::ToChronoMilliseconds(call.timeout));
  httplib::Request request;
  request.method = call.method;
  request.path = call.target;
  request.body = call.body;
  for (const auto& [name, value] : call.headers)
    request.set_header(name, value);
  if (!call.content_type.empty())
    request.set_header("Content-Type", call.content_type);
  std::string body;
  ResponseReservation reservation(memory_, call.address, client.get());
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    body.append(data, size);
    return reservation.Hold(body);
  };
  const absl::Time begin = absl::Now();
  httplib::Result result(nullptr, httplib::Error::Unknown);
  const bool has_run = interrupt->Guard(
      [&client] { client->stop(); }, [&] { result = client->send(request); });
  reservation.Release();
  if (!has_run)
    return {.outcome = AttemptOutcome::kUnreachable, .detail = "interrupted"};
  // The upstream is not known to be at fault.
  if (reservation.is_evicted()) {
    LogEvent(Severity::kWarning, "response_ended",
             {{"upstream", call.address},
              {"attempt", request.get_header_value("Chicory-Attempt")},
              {"reason", "memory_limit"},
              {"received", absl::StrCat(body.size())},
              {"age_ms",
               absl::StrCat(absl::ToInt64Milliseconds(absl::Now() - begin))}});
    return {.outcome = AttemptOutcome::kFailed, .detail = "memory_limit"};
  }
  if (!result) {
    return {.outcome = OutcomeOfFailedCall(result.error(), absl::Now() - begin,
                                           call.timeout),
            .detail = httplib::to_string(result.error())};
  }
  service_response->status = result->status;
  service_response->body = std::move(body);
  service_response->content_type = result->get_header_value("Content-Type");
  if (!call.fresh_connection)
    connection_pool_->Return(call.address, std::move(client));
  return {.outcome = AttemptOutcome::kCompleted};
}

Result<void> HttpUpstreamClient::Cancel(const std::string& address,
                                        const std::string& attempt) {
  auto client = connection_pool_->Take(address);
  BOOST_LEAF_CHECK(ControlCall(
      client.get(),
      ControlRequest("/v1/cancel", Json{{"attempt", attempt}}.dump())));
  connection_pool_->Return(address, std::move(client));
  return {};
}

Result<LoadReport> HttpUpstreamClient::Load(const std::string& address) {
  auto client = connection_pool_->Take(address);
  BOOST_LEAF_AUTO(json, ControlCall(client.get(), ControlRequest("/v1/load")));
  connection_pool_->Return(address, std::move(client));
  try {
    if (auto load = ParseLoadReport(json))
      return *load;
  } catch (const Json::exception&) {
  }
  return Fail(ErrorCode::kUnavailable,
              "upstream returned a malformed load report");
}

Result<std::vector<UpstreamClient::CacheChange>>
HttpUpstreamClient::CacheChanges(const std::string& address,
                                 uint64_t sequence) {
  auto client = connection_pool_->Take(address);
  BOOST_LEAF_AUTO(json, ControlCall(client.get(),
                                    ControlRequest(absl::StrCat(
                                        "/v1/cache_events?after=", sequence))));
  connection_pool_->Return(address, std::move(client));
  std::vector<CacheChange> changes;
  try {
    for (const auto& change : json) {
      changes.push_back({.sequence = change.at(0).get<uint64_t>(),
                         .block = change.at(1).get<uint64_t>(),
                         .is_stored = change.at(2).get<bool>()});
    }
  } catch (const Json::exception& exception) {
    return Fail(ErrorCode::kUnavailable, exception.what());
  }
  return changes;
}

Result<std::vector<std::string>> HttpUpstreamClient::Attempts(
    const std::string& address) {
  auto client = connection_pool_->Take(address);
  BOOST_LEAF_AUTO(json,
                  ControlCall(client.get(), ControlRequest("/v1/attempts")));
  connection_pool_->Return(address, std::move(client));
  if (!json.is_array())
    return Fail(ErrorCode::kUnavailable, "the list of attempts is no list");
  std::vector<std::string> attempts;
  for (const auto& attempt : json) {
    if (attempt.is_string())
      attempts.push_back(attempt.get<std::string>());
  }
  return attempts;
}

}  // namespace chicory
