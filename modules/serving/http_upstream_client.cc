#include "modules/serving/http_upstream_client.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "nlohmann/json.hpp"

namespace chicory {

namespace {

constexpr absl::Duration kConnectTimeout = absl::Seconds(1);
constexpr absl::Duration kControlTimeout = absl::Milliseconds(500);

/** How long an idle connection is used again. */
constexpr absl::Duration kIdleLimit = absl::Seconds(2);
constexpr size_t kMaxIdlePerAddress = 64;

using Json = nlohmann::json;

/** The outcome of a call that got no whole answer. */
AttemptOutcome OutcomeOf(httplib::Error error,
                         absl::Duration silent_for,
                         absl::Duration stall) {
  if (error == httplib::Error::Connection)
    return AttemptOutcome::kUnreachable;
  return silent_for >= 0.9 * stall ? AttemptOutcome::kStalled
                                   : AttemptOutcome::kDied;
}

void ReadLevels(const Json& json,
                const char* key,
                std::array<int64_t, kPriorityLevels>* levels) {
  const auto values = json.value(key, std::vector<int64_t>());
  for (size_t i = 0; i < values.size() && i < levels->size(); ++i)
    (*levels)[i] = values[i];
}

std::optional<LoadReport> LoadOf(const Json& json) {
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
  ReadLevels(json, "queued_prefill_tokens", &report.queued_prefill_tokens);
  ReadLevels(json, "waiting_memory_tokens", &report.waiting_memory_tokens);
  return report;
}

/** Splits a stream of bytes into JSON lines. */
class LineReader {
 public:
  /** Longest line, in bytes. */
  static constexpr size_t kMaxLine = 1 << 20;

  /** Calls `take` for each whole line; false when it said so or on a line that
      is too long. */
  template <class Take>
  bool Feed(const char* data, size_t size, Take&& take) {
    rest_.append(data, size);
    size_t begin = 0;
    for (size_t end = rest_.find('\n', begin); end != std::string::npos;
         end = rest_.find('\n', begin)) {
      if (!take(std::string_view(rest_).substr(begin, end - begin)))
        return false;
      begin = end + 1;
    }
    rest_.erase(0, begin);
    return rest_.size() <= kMaxLine;
  }

 private:
  std::string rest_;
};

bool ReadEvent(std::string_view line, StreamEvent* event) {
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
      event->load = LoadOf(json["load"]);
  } catch (const Json::exception&) {
    return false;
  }
  return true;
}

UpstreamCallResult RefusalOf(int status, const std::string& body) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  UpstreamCallResult end{.outcome = AttemptOutcome::kFailed,
                         .detail = absl::StrCat("status ", status)};
  if (!json.is_object() || json.value("ran", true))
    return end;
  end.outcome = AttemptOutcome::kRefused;
  end.leaving = json.value("reason", "") == "leaving";
  end.detail = json.value("reason", "");
  return end;
}

}  // namespace

/** Idle connections by address. */
class HttpUpstreamClient::Connections {
 public:
  std::unique_ptr<httplib::Client> Take(const std::string& address,
                                        bool fresh = false) {
    if (!fresh) {
      absl::MutexLock lock(&mutex_);
      std::vector<Idle>& idle = idle_[address];
      const absl::Time oldest = absl::Now() - kIdleLimit;
      std::erase_if(idle,
                    [&](const Idle& entry) { return entry.since < oldest; });
      if (!idle.empty()) {
        auto client = std::move(idle.back().client);
        idle.pop_back();
        return client;
      }
    }
    auto client = std::make_unique<httplib::Client>("http://" + address);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    client->set_connection_timeout(absl::ToChronoMilliseconds(kConnectTimeout));
    return client;
  }

  void Return(const std::string& address,
              std::unique_ptr<httplib::Client> client) {
    absl::MutexLock lock(&mutex_);
    std::vector<Idle>& idle = idle_[address];
    if (idle.size() < kMaxIdlePerAddress)
      idle.push_back({std::move(client), absl::Now()});
  }

 private:
  struct Idle {
    std::unique_ptr<httplib::Client> client;
    absl::Time since;
  };

  absl::Mutex mutex_;
  absl::flat_hash_map<std::string, std::vector<Idle>> idle_
      ABSL_GUARDED_BY(mutex_);
};

HttpUpstreamClient::HttpUpstreamClient()
    : connections_(std::make_unique<Connections>()) {}

HttpUpstreamClient::~HttpUpstreamClient() = default;

UpstreamCallResult HttpUpstreamClient::Stream(const StreamCall& call,
                                              const EventSink& sink,
                                              Interrupt* interrupt) {
  auto client = connections_->Take(call.address);
  client->set_write_timeout(absl::ToChronoMilliseconds(call.later_stall));
  client->set_read_timeout(absl::ToChronoMilliseconds(call.first_stall));
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
  bool is_whole = false;
  bool is_stopped = false;
  int status = 0;
  std::string refusal;
  LineReader lines;
  absl::Time last_heard = absl::Now();
  absl::Duration stall = call.first_stall;
  request.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    return true;
  };
  request.content_receiver = [&](const char* data, size_t size, uint64_t,
                                 uint64_t) {
    last_heard = absl::Now();
    if (status != 200) {
      refusal.append(data, std::min(size, LineReader::kMaxLine));
      return true;
    }
    stall = call.later_stall;
    return lines.Feed(data, size, [&](std::string_view line) {
      StreamEvent event;
      if (!ReadEvent(line, &event))
        return false;
      is_whole |= event.chunk.is_end;
      is_stopped = !sink(std::move(event));
      return !is_stopped;
    });
  };
  httplib::Result result(nullptr, httplib::Error::Unknown);
  const bool has_run = interrupt->Guard(
      [&client] { client->stop(); }, [&] { result = client->send(request); });
  if (!has_run)
    return {.outcome = AttemptOutcome::kUnreachable, .detail = "interrupted"};
  if (status != 0 && status != 200)
    return RefusalOf(status, refusal);
  if (is_whole && !is_stopped) {
    if (result)
      connections_->Return(call.address, std::move(client));
    end.outcome = AttemptOutcome::kCompleted;
    return end;
  }
  if (is_stopped)
    return {.outcome = AttemptOutcome::kFailed, .detail = "broken off"};
  if (result)
    return {.outcome = AttemptOutcome::kDied, .detail = "cut short"};
  // Broken off by this process: nothing is known against the upstream.
  end.outcome =
      interrupt->is_raised()
          ? AttemptOutcome::kStalled
          : OutcomeOf(result.error(), absl::Now() - last_heard, stall);
  end.detail = httplib::to_string(result.error());
  return end;
}

UpstreamCallResult HttpUpstreamClient::ReservePromptPart(const StreamCall& call,
                                                         int64_t tokens,
                                                         Interrupt* interrupt) {
  auto client = connections_->Take(call.address);
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
    return {.outcome = OutcomeOf(result.error(), absl::Now() - begin,
                                 call.first_stall),
            .detail = httplib::to_string(result.error())};
  }
  if (result->status != 200)
    return RefusalOf(result->status, result->body);
  connections_->Return(call.address, std::move(client));
  return {.outcome = AttemptOutcome::kCompleted};
}

namespace {

/** A short call that asks or orders something beside the streams. */
template <class Send>
Result<Json> ControlCall(httplib::Client* client, Send&& send) {
  client->set_read_timeout(absl::ToChronoMilliseconds(kControlTimeout));
  client->set_write_timeout(absl::ToChronoMilliseconds(kControlTimeout));
  const httplib::Result result = send(client);
  if (!result)
    return Fail(ErrorCode::kUnavailable, httplib::to_string(result.error()));
  if (result->status == 404)
    return Fail(ErrorCode::kNotFound, "status 404");
  if (result->status != 200)
    return Fail(ErrorCode::kUnavailable,
                absl::StrCat("status ", result->status));
  Json json = Json::parse(result->body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded())
    return Fail(ErrorCode::kUnavailable, "malformed answer of an upstream");
  return json;
}

}  // namespace

Result<bool> HttpUpstreamClient::IsPromptPartPrefilled(
    const std::string& address,
    const std::string& attempt) {
  auto client = connections_->Take(address);
  BOOST_LEAF_AUTO(json, ControlCall(client.get(), [&](auto* http) {
                    return http->Get("/v1/holds/" + attempt);
                  }));
  connections_->Return(address, std::move(client));
  return json.value("ready", false);
}

UpstreamCallResult HttpUpstreamClient::Call(const ServiceCall& call,
                                            ServiceResponse* answer,
                                            Interrupt* interrupt) {
  auto client = connections_->Take(call.address, call.fresh_connection);
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
  const absl::Time begin = absl::Now();
  httplib::Result result(nullptr, httplib::Error::Unknown);
  const bool has_run = interrupt->Guard(
      [&client] { client->stop(); }, [&] { result = client->send(request); });
  if (!has_run)
    return {.outcome = AttemptOutcome::kUnreachable, .detail = "interrupted"};
  if (!result) {
    return {
        .outcome = OutcomeOf(result.error(), absl::Now() - begin, call.timeout),
        .detail = httplib::to_string(result.error())};
  }
  answer->status = result->status;
  answer->body = std::move(result->body);
  answer->content_type = result->get_header_value("Content-Type");
  if (!call.fresh_connection)
    connections_->Return(call.address, std::move(client));
  return {.outcome = AttemptOutcome::kCompleted};
}

Result<void> HttpUpstreamClient::Cancel(const std::string& address,
                                        const std::string& attempt) {
  auto client = connections_->Take(address);
  BOOST_LEAF_CHECK(ControlCall(client.get(), [&](auto* http) {
    return http->Post("/v1/cancel", Json{{"attempt", attempt}}.dump(),
                      "application/json");
  }));
  connections_->Return(address, std::move(client));
  return {};
}

Result<LoadReport> HttpUpstreamClient::Load(const std::string& address) {
  auto client = connections_->Take(address);
  BOOST_LEAF_AUTO(json, ControlCall(client.get(), [](auto* http) {
                    return http->Get("/v1/load");
                  }));
  connections_->Return(address, std::move(client));
  try {
    if (auto load = LoadOf(json))
      return *load;
  } catch (const Json::exception&) {
  }
  return Fail(ErrorCode::kUnavailable, "malformed load report");
}

Result<std::vector<UpstreamClient::CacheChange>>
HttpUpstreamClient::CacheChanges(const std::string& address,
                                 uint64_t sequence) {
  auto client = connections_->Take(address);
  BOOST_LEAF_AUTO(
      json, ControlCall(client.get(), [&](auto* http) {
        return http->Get(absl::StrCat("/v1/cache_events?after=", sequence));
      }));
  connections_->Return(address, std::move(client));
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
  auto client = connections_->Take(address);
  BOOST_LEAF_AUTO(json, ControlCall(client.get(), [](auto* http) {
                    return http->Get("/v1/attempts");
                  }));
  connections_->Return(address, std::move(client));
  std::vector<std::string> attempts;
  for (const auto& attempt : json) {
    if (attempt.is_string())
      attempts.push_back(attempt.get<std::string>());
  }
  return attempts;
}

}  // namespace chicory
