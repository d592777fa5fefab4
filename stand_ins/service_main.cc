#include <httplib.h>
#include <unistd.h>

#include <atomic>
#include <iostream>
#include <map>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "modules/serving/http_api_server.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

/** Exit status after an injected fault. */
constexpr int kInjectedExitCode = 66;

SectionRule SettingsRule() {
  SectionRule rule{"settings", false, "Settings of the stand-in service.",
                   CommonSettings()};
  rule.keys.push_back({"listen", ValueType::kText, "", false, "127.0.0.1:0", 1,
                       64, "", "Address to listen on, ip:port."});
  return rule;
}

/** A service other than a model, such as a booking desk. It executes every
    request and counts the executions by idempotency key, or by path for
    requests without a key. */
class PlainService {
 public:
  explicit PlainService(const std::string& listen)
      : http_server_({.listen = listen}) {
    using Request = httplib::Request;
    using Response = httplib::Response;
    httplib::Server& routes = http_server_.routes();
    routes.Get("/executions", [this](const Request&, Response& response) {
      absl::MutexLock lock(&mutex_);
      response.set_content(Json(executions_).dump(), "application/json");
    });
    routes.Post("/faults", [this](const Request& request, Response&) {
      const Json json = Json::parse(request.body, nullptr, false);
      slow_ms_ = json.value("slow_ms", 0);
      exit_after_run_ = json.value("die_after_run", false);
      exit_before_run_ = json.value("die_before_run", false);
    });
    auto handle_call = [this](const Request& request, Response& response) {
      HandleCall(request, &response);
    };
    routes.Get("/.*", handle_call);
    routes.Post("/.*", handle_call);
    routes.Put("/.*", handle_call);
    routes.Delete("/.*", handle_call);
  }

  Result<std::string> Start() { return http_server_.Start(); }

 private:
  void HandleCall(const httplib::Request& request,
                  httplib::Response* response) {
    if (exit_before_run_)
      ::_exit(kInjectedExitCode);
    const std::string key = request.get_header_value("Idempotency-Key");
    int execution_count = 0;
    {
      absl::MutexLock lock(&mutex_);
      execution_count = ++executions_[key.empty() ? request.path : key];
    }
    if (exit_after_run_)
      ::_exit(kInjectedExitCode);
    absl::SleepFor(absl::Milliseconds(slow_ms_.load()));
    response->set_content(Json{{"path", request.path},
                               {"key", key},
                               {"execution", execution_count},
                               {"received", request.body}}
                              .dump(),
                          "application/json");
  }

  absl::Mutex mutex_;
  std::map<std::string, int> executions_ ABSL_GUARDED_BY(mutex_);
  std::atomic<int> slow_ms_{0};
  std::atomic<bool> exit_after_run_{false};
  std::atomic<bool> exit_before_run_{false};
  HttpApiServer http_server_;
};

int Run(int argc, char** argv) {
  BlockStopSignals();
  int exit_code = 0;
  const auto settings =
      StartProgram(argc, argv, "stand_in_service",
                   "Stands in for a plain service, such as a booking desk.",
                   SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  PlainService service(settings->text("listen"));
  const auto address = Capture([&] { return service.Start(); });
  if (!address.ok) {
    std::cerr << address.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  PrintListening({{"service", address.value}});
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
