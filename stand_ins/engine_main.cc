#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "modules/core/timeline.h"
#include "modules/serving/chat_request.h"
#include "modules/serving/http_api_server.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"
#include "stand_ins/engine_runtime.h"
#include "stand_ins/synthetic_response.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

constexpr char kCrashMarker[] = "[[crash]]";
constexpr absl::Duration kDisconnectCheckInterval = absl::Milliseconds(100);

SectionRule SettingsRule() {
  using Type = ValueType;
  SectionRule rule{"settings", false, "Settings of the stand-in engine.",
                   CommonSettings()};
  rule.keys.insert(
      rule.keys.end(),
      {{"name", Type::kText, "", false, "engine", 1, 64, "",
        "Process name in timeline events."},
       {"listen", Type::kText, "", false, "127.0.0.1:0", 1, 64, "",
        "Address to listen on, ip:port."},
       {"memory_tokens", Type::kInteger, "tokens", false, "450000", 100, 1e9,
        "", "Memory capacity of the engine."},
       {"speed", Type::kNumber, "", false, "1", 0.01, 1000, "",
        "Factor by which the engine runs faster than the model."},
       {"checks_fence", Type::kBoolean, "", false, "true", 0, 1, "",
        "Whether orders with an outdated fencing token are refused."}});
  return rule;
}

Json LoadJson(const LoadReport& load, absl::Duration age, bool is_leaving) {
  return {{"incarnation", load.incarnation},
          {"age_ms", absl::ToInt64Milliseconds(age)},
          {"memory_tokens", load.memory_tokens},
          {"free_memory_tokens", load.free_memory_tokens},
          {"waiting_memory_tokens", load.waiting_memory_tokens},
          {"queued_prefill_tokens", load.queued_prefill_tokens},
          {"prefill_tokens_per_second", load.prefill_tokens_per_second},
          {"leaving", is_leaving}};
}

EngineRuntime::Options RuntimeOptions(const CheckedRow& settings) {
  EngineRuntime::Options options;
  options.model.incarnation =
      static_cast<uint64_t>(absl::ToUnixMillis(absl::Now()));
  options.model.memory_tokens = settings.integer("memory_tokens");
  options.speed = settings.number("speed");
  return options;
}

/** Serves the published protocol of an engine over HTTP. A prompt that contains
    `[[crash]]` makes the process exit when it starts to run. */
class EngineServer {
 public:
  explicit EngineServer(const CheckedRow& settings)
      : checks_fence_(settings.boolean("checks_fence")),
        timeline_(settings.text("name")),
        runtime_(RuntimeOptions(settings)),
        http_server_({.listen = settings.text("listen"),
                      .max_threads = 1024,
                      .max_body_bytes = 64 << 20}) {
    AddStreamRoutes();
    AddQueryRoutes();
    AddOrderRoutes();
  }

  Result<std::string> Start() { return http_server_.Start(); }
  void RefuseNewWork() { is_leaving_ = true; }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  static void SendJson(Response* response, int status, const Json& json) {
    response->status = status;
    response->set_content(json.dump(), "application/json");
  }

  static void Refuse(Response* response,
                     const std::string& attempt,
                     const char* reason) {
    SendJson(response, 503,
             {{"ran", false}, {"attempt", attempt}, {"reason", reason}});
  }

  void AddStreamRoutes() {
    httplib::Server& routes = http_server_.routes();
    routes.Post("/v1/streams",
                [this](const Request& request, Response& response) {
                  HandleStream(request, &response);
                });
    routes.Post("/v1/holds",
                [this](const Request& request, Response& response) {
                  HandleReservation(request, &response);
                });
    routes.Get(
        "/v1/holds/(.+)", [this](const Request& request, Response& response) {
          absl::MutexLock lock(&mutex_);
          auto reservation = reservations_.find(request.matches[1]);
          if (reservation == reservations_.end())
            return SendJson(&response, 404,
                            {{"error", "no such memory reservation"}});
          for (const EngineEvent& event : runtime_.Take(
                   reservation->second.channel.get(), absl::ZeroDuration())) {
            reservation->second.is_ready |=
                event.kind == EngineEventKind::kPrefilled;
          }
          SendJson(&response, 200, {{"ready", reservation->second.is_ready}});
        });
    routes.Post(
        "/v1/cancel", [this](const Request& request, Response& response) {
          const Json json = Json::parse(request.body, nullptr, false);
          const std::string attempt = json.value("attempt", "");
          {
            absl::MutexLock lock(&mutex_);
            reservations_.erase(attempt);
          }
          SendJson(&response, 200, {{"was_here", runtime_.Cancel(attempt)}});
        });
  }

  /** Returns true if new work is accepted; otherwise sends a refusal. */
  bool CheckAcceptsWork(const std::string& attempt, Response* response) {
    if (is_leaving_)
      Refuse(response, attempt, "leaving");
    else if (runtime_.faults().refuse)
      Refuse(response, attempt, "refused");
    else
      return true;
    return false;
  }

  void HandleStream(const Request& request, Response* response) {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("prompt"))
      return SendJson(response, 400, {{"ran", false}, {"reason", "malformed"}});
    if (!CheckAcceptsWork(json.value("attempt", ""), response))
      return;
    timeline_.Observe(json.value("stamp", uint64_t{0}));
    const std::string prompt = json["prompt"].get<std::string>();
    const int64_t group = std::max<int64_t>(1, json.value("group_size", 1));
    EngineJob job;
    job.attempt = json.value("attempt", "");
    const int64_t tokens = EngineTokenCount(prompt);
    job.prompt_tokens = (tokens + group - 1) / group;
    job.max_tokens = json.value("max_tokens", int64_t{256});
    job.response_tokens = std::min(job.max_tokens, FullResponseLength(prompt));
    job.resume_from = json.value("resume_from", int64_t{0});
    job.level = std::clamp(json.value("level", 0), 0, kPriorityLevels - 1);
    job.prefix_blocks = PrefixBlocksOf(prompt);
    const bool crashes = absl::StrContains(prompt, kCrashMarker);
    const auto channel = runtime_.Submit(job, crashes);
    if (channel == nullptr)
      return Refuse(response, job.attempt, "not_taken");
    ++streams_started_;
    timeline_.Record(absl::Now(), TimelineEventKind::kAttemptStarted,
                     job.attempt, {});
    RelayEvents(job, prompt, tokens, channel.get());
  }

  /** Writes the events of a stream to its client until the stream ends or the
      client disconnects. */
  void RelayEvents(const EngineJob& job,
                   const std::string& prompt,
                   int64_t prompt_tokens,
                   EngineRuntime::Channel* channel) {
    const CallerConnection connection = CallerConnection::Current();
    ChunkedResponse direct;
    bool is_first_line = true;
    while (true) {
      std::string lines;
      bool has_ended = false;
      for (const EngineEvent& event :
           runtime_.Take(channel, kDisconnectCheckInterval)) {
        Json line = {{"a", job.attempt}};
        if (event.kind == EngineEventKind::kToken) {
          line["i"] = event.index;
          line["t"] = ResponseToken(prompt, event.index);
        } else if (event.kind == EngineEventKind::kFinished) {
          line["end"] = true;
          line["total"] = job.response_tokens;
          line["prompt_tokens"] = prompt_tokens;
          line["stamp"] = timeline_.Record(
              absl::Now(), TimelineEventKind::kAttemptEnded, job.attempt, {});
          has_ended = true;
        } else {
          continue;
        }
        if (is_first_line || has_ended) {
          line["load"] = LoadJson(runtime_.CurrentLoad(), absl::ZeroDuration(),
                                  is_leaving_);
        }
        is_first_line = false;
        lines += line.dump() + "\n";
      }
      if (connection.IsDisconnected()) {
        runtime_.StopGeneration(job.attempt);
        direct.Abort();
        return;
      }
      if (!lines.empty() && !direct.has_begun())
        direct.Begin("application/x-ndjson");
      if (!lines.empty() && !direct.Write(lines)) {
        runtime_.StopGeneration(job.attempt);
        return;
      }
      if (has_ended) {
        direct.End();
        return;
      }
    }
  }

  /** Responds once the engine has granted the memory. The prompt part is
      prefilled after that; its state is polled at `/v1/holds/ATTEMPT`. */
  void HandleReservation(const Request& request, Response* response) {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
      return SendJson(response, 400, {{"ran", false}, {"reason", "malformed"}});
    if (!CheckAcceptsWork(json.value("attempt", ""), response))
      return;
    EngineJob job;
    job.attempt = json.value("attempt", "");
    job.prompt_tokens = json.value("tokens", int64_t{0});
    job.level = std::clamp(json.value("level", 0), 0, kPriorityLevels - 1);
    job.is_reservation = true;
    auto channel = runtime_.Submit(job, /*crashes=*/false);
    if (channel == nullptr)
      return Refuse(response, job.attempt, "not_taken");
    const CallerConnection connection = CallerConnection::Current();
    while (true) {
      for (const EngineEvent& event :
           runtime_.Take(channel.get(), kDisconnectCheckInterval)) {
        absl::MutexLock lock(&mutex_);
        Reservation& reservation = reservations_[job.attempt];
        reservation.channel = channel;
        reservation.is_ready |= event.kind == EngineEventKind::kPrefilled;
      }
      if (connection.IsDisconnected())
        return;
      absl::MutexLock lock(&mutex_);
      if (reservations_.count(job.attempt) != 0)
        return SendJson(response, 200, {{"granted", true}});
    }
  }

  void AddQueryRoutes() {
    httplib::Server& routes = http_server_.routes();
    routes.Get("/v1/load", [this](const Request&, Response& response) {
      absl::Duration age;
      const LoadReport load = runtime_.PublishedLoad(&age);
      SendJson(&response, 200, LoadJson(load, age, is_leaving_));
    });
    routes.Get("/v1/attempts", [this](const Request&, Response& response) {
      SendJson(&response, 200, Json(runtime_.Attempts()));
    });
    routes.Get(
        "/v1/cache_events", [this](const Request& request, Response& response) {
          uint64_t after = 0;
          if (!absl::SimpleAtoi(request.get_param_value("after"), &after))
            after = 0;
          Json list = Json::array();
          for (const CacheEvent& event : runtime_.CacheEventsAfter(after))
            list.push_back({event.sequence, event.block, event.stored});
          SendJson(&response, 200, list);
        });
    routes.Get("/timeline", [this](const Request&, Response& response) {
      response.set_content(timeline_.ToJsonLines(), "application/x-ndjson");
    });
    routes.Get("/executions", [this](const Request&, Response& response) {
      SendJson(
          &response, 200,
          {{"streams", streams_started_.load()},
           {"free_memory_tokens", runtime_.CurrentLoad().free_memory_tokens}});
    });
    routes.Post("/faults", [this](const Request& request, Response& response) {
      const Json json = Json::parse(request.body, nullptr, false);
      runtime_.SetFaults({.refuse = json.value("refuse", false),
                          .freeze = json.value("freeze", false),
                          .slow = json.value("slow", 1.0)});
      SendJson(&response, 200, Json::object());
    });
    routes.Post("/v1/leave", [this](const Request&, Response& response) {
      RefuseNewWork();
      SendJson(&response, 200, Json::object());
    });
  }

  void AddOrderRoutes() {
    http_server_.routes().Post("/v1/orders", [this](const Request& request,
                                                    Response& response) {
      const Json json = Json::parse(request.body, nullptr, false);
      const uint64_t fence = json.value("fence", uint64_t{0});
      absl::MutexLock lock(&mutex_);
      if (checks_fence_ && fence < highest_fence_)
        return SendJson(&response, 409, {{"highest_fence", highest_fence_}});
      highest_fence_ = std::max(highest_fence_, fence);
      orders_.push_back(json);
      SendJson(&response, 200, Json::object());
    });
    http_server_.routes().Get("/v1/orders",
                              [this](const Request&, Response& response) {
                                absl::MutexLock lock(&mutex_);
                                SendJson(&response, 200, Json(orders_));
                              });
  }

  struct Reservation {
    std::shared_ptr<EngineRuntime::Channel> channel;
    bool is_ready = false;
  };

  const bool checks_fence_;
  std::atomic<bool> is_leaving_{false};
  std::atomic<int64_t> streams_started_{0};
  Timeline timeline_;
  absl::Mutex mutex_;
  std::map<std::string, Reservation> reservations_ ABSL_GUARDED_BY(mutex_);
  uint64_t highest_fence_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<Json> orders_ ABSL_GUARDED_BY(mutex_);
  EngineRuntime runtime_;
  HttpApiServer http_server_;
};

int Run(int argc, char** argv) {
  BlockStopSignals();
  int exit_code = 0;
  const auto settings =
      StartProgram(argc, argv, "stand_in_engine",
                   "Stands in for a model engine.", SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  EngineServer server(*settings);
  const auto address = Capture([&] { return server.Start(); });
  if (!address.ok) {
    std::cerr << address.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  PrintListening({{"engine", address.value}});
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
